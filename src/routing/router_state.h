#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "routing/instance_info.h"
#include "routing/load_report.h"

namespace chivewing {

// Whether an instance is given requests, by its past outcomes.
enum class Health : std::uint8_t {
  kHealthy,
  kSuspect,    // a reused connection failed; waits for a probe
  kEjected,    // failed or slow; waits for successful probes in a row
  kProbation,  // readmitted, one request at a time
};

struct InstanceSummary {
  InstanceId id;
  EntryName entry;
  InstanceState state = InstanceState::kInUse;
  Health health = Health::kHealthy;
  std::uint64_t share_epoch = 0;
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  // Slots in which a request without an answer may still run.
  std::uint32_t abandoned_slots = 0;
  std::uint32_t open_connections = 0;
  Duration mean_service{};
};

struct PeerSummary {
  HostId peer;
  std::vector<EntryLoad> entries;
  std::uint32_t forwards_in_flight = 0;
};

// Counts since the process started.
struct RouterCounters {
  std::uint64_t submitted = 0;
  // Requests by outcome: answered, certainly not run, may have run.
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t retried = 0;
  std::uint64_t retries_refused = 0;  // by the retry budget
  std::uint64_t ejections = 0;
  std::uint64_t readmitted = 0;  // ejected instances put on probation
  std::uint64_t reports_sent = 0;
};

// Snapshot of a Router for dumps and metrics.
struct RouterState {
  bool stopping = false;
  std::uint32_t waiting = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t forwarded = 0;
  std::vector<InstanceSummary> instances;
  std::vector<PeerSummary> peers;
  RouterCounters counters;
};

}  // namespace chivewing
