#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"

namespace chivewing {

// The class of an entry: the kind of work that it describes, or a quota or
// maintenance rule.
enum class WorkClass {
  kService,    // instances in each zone; requests are routed to them
  kSingleton,  // one task in all zones together
  kBatch,      // jobs whose tasks start independently
  kGang,       // jobs whose tasks start together
  kOwner,      // quota of an owner
  kOutOfUse,   // puts a worker, target or owner out of use
};

// What happens to a singleton whose zone is partitioned from the platform.
enum class ZonePartitionPolicy {
  kKeepRunning,  // it keeps running there and is not started elsewhere
  kFailOver,  // its lease is renewed for lapse_after at most, then others start
              // it
};

// The kind of subject that an out-of-use entry names.
enum class SubjectKind { kWorker, kTarget, kOwner };

// Resource limits. Sizes apply to one task or instance; for an owner, to all
// its tasks in each zone together.
struct EntryLimits {
  std::int64_t processors_milli = 1000;  // thousandths of a processor
  std::int64_t memory_mb = 1024;
  std::int64_t accelerators = 0;
  int instances = 1;     // in each zone
  int slots = 8;         // concurrent requests of one instance
  int connections = 64;  // open connections of one instance
  int queue = 256;       // requests queued at one entry host
  int body_kb = 64;      // of one request
  int tasks = 1000;      // of one job; for an owner, of all its jobs in a zone
  int gang_size = 0;     // tasks of one job that start together
};

// Scheduling priority, time limits, and behaviour after failures.
struct EntryPolicy {
  int priority = 500;                        // 0 to 1000, higher goes first
  std::chrono::milliseconds deadline{1000};  // of a request, with its queueing
  std::chrono::milliseconds request_timeout{
      1000};  // of one attempt at a target
  // Maximum time that an instance works on a request, whether or not it is
  // answered.
  std::chrono::milliseconds longest_run{10000};
  bool idempotent = false;        // true if a request may run more than once
  int retry_budget_percent = 10;  // retries per hundred requests
  std::vector<ZoneId> zones;      // where it may run; empty: everywhere
  std::string finish_by;          // "HH:MM" UTC, or empty
  std::chrono::seconds expected_run{0};  // of one task; 0: not known
  ZonePartitionPolicy when_cut_off = ZonePartitionPolicy::kKeepRunning;
  std::chrono::seconds failover_after{
      60};                    // for ZonePartitionPolicy::kFailOver
  bool urgent = false;        // true if it may preempt lower priorities
  bool spread_racks = false;  // true if instances are spread over racks
  bool checkpoint = false;    // true if tasks can be checkpointed and resumed
};

// The worker, target or owner that an out-of-use entry takes out of use.
struct EntrySubject {
  SubjectKind kind = SubjectKind::kWorker;
  std::string id;  // of the worker, instance or owner
};

// One entry of the catalogue: the complete description of some work.
struct CatalogueEntry {
  EntryName name;
  OwnerId owner;
  WorkClass work_class = WorkClass::kService;
  EntryName served_by;  // service that runs the requests; empty: this entry
  std::string note;     // text for operators: purpose, contact
  EntryLimits limits;
  EntryPolicy policy;
  EntrySubject subject;
};

// The names of the classes in documents, in the order of WorkClass.
std::span<const std::string_view> WorkClassNames();

// The name of a class in documents: "service", "out_of_use".
std::string_view Name(WorkClass work_class);

// Whether requests can be sent to the entry: any service, and a singleton with
// at least one slot.
bool AcceptsRequests(const CatalogueEntry& entry);

// The entry whose instances run this entry's requests: itself or served_by.
const EntryName& ServiceOf(const CatalogueEntry& entry);

// The time finish_by as minutes after midnight UTC; nothing if it is not set.
std::optional<std::chrono::minutes> FinishBy(const EntryPolicy& policy);

}  // namespace chivewing
