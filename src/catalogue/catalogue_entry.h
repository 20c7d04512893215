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

// Class of work of an entry.
enum class WorkClass {
  kService,    // instances in each zone; requests are routed to them
  kSingleton,  // one task in the whole cell
  kBatch,      // jobs whose tasks start one by one
  kGang,       // jobs whose tasks start all at once
  kOwner,      // quota of an owner
  kOutOfUse,   // puts a worker, target or owner out of use
};

// What happens to a singleton whose zone is cut off from the platform.
enum class ZonePartitionPolicy {
  kKeepRunning,  // it keeps running there; nobody else starts it
  kFailOver,  // its lease is renewed for lapse_after at most, then others start
              // it
};

// What an out-of-use entry names.
enum class SubjectKind { kWorker, kTarget, kOwner };

// What the work may use. Sizes are of one task or instance; for an owner, of
// all its tasks in each zone.
struct EntryLimits {
  std::int64_t processors_milli = 1000;  // thousandths of a processor
  std::int64_t memory_mb = 1024;
  std::int64_t accelerators = 0;
  int instances = 1;     // in each zone
  int slots = 8;         // requests at once of one instance
  int connections = 64;  // open connections of one instance
  int queue = 256;       // requests waiting at one entry host
  int body_kb = 64;      // of one request
  int tasks = 1000;      // of one job; for an owner, of all its jobs in a zone
  int gang_size = 0;     // tasks of one job that start at once
};

// How the work is treated against other work and under faults.
struct EntryPolicy {
  int priority = 500;                        // 0 to 1000, higher goes first
  std::chrono::milliseconds deadline{1000};  // of a request, waiting included
  std::chrono::milliseconds request_timeout{
      1000};  // of one attempt at a target
  // Longest time that an instance goes on with a request, answered or not.
  std::chrono::milliseconds longest_run{10000};
  bool idempotent = false;               // may run more than once
  int retry_budget_percent = 10;         // retries per hundred requests
  std::vector<ZoneId> zones;             // where it may run; empty: everywhere
  std::string finish_by;                 // "HH:MM" UTC, or empty
  std::chrono::seconds expected_run{0};  // of one task; 0: not known
  ZonePartitionPolicy when_cut_off = ZonePartitionPolicy::kKeepRunning;
  std::chrono::seconds failover_after{
      60};                    // for ZonePartitionPolicy::kFailOver
  bool urgent = false;        // may take room from lower priorities
  bool spread_racks = false;  // instances on as many racks as there are
  bool checkpoint = false;    // tasks can be checkpointed and resumed
};

// What an out-of-use entry puts out of use.
struct EntrySubject {
  SubjectKind kind = SubjectKind::kWorker;
  std::string id;  // of the worker, instance or owner
};

// One entry of the catalogue: everything that the system may know of some work.
struct CatalogueEntry {
  EntryName name;
  OwnerId owner;
  WorkClass work_class = WorkClass::kService;
  EntryName served_by;  // service whose instances take the requests; empty: own
  std::string note;     // for people: what it is for, whom to ask
  EntryLimits limits;
  EntryPolicy policy;
  EntrySubject subject;
};

// The words for the classes, in the order of WorkClass.
std::span<const std::string_view> WorkClassNames();

// The word for a class in documents: "service", "out_of_use".
std::string_view Name(WorkClass work_class);

// Whether requests can be sent to the entry.
bool AcceptsRequests(const CatalogueEntry& entry);

// The entry whose instances take this entry's requests: itself or served_by.
const EntryName& ServiceOf(const CatalogueEntry& entry);

// Minutes after midnight UTC of finish_by.
std::optional<std::chrono::minutes> FinishBy(const EntryPolicy& policy);

}  // namespace chivewing
