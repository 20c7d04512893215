#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "cluster/caller_request_handler.h"
#include "dispatch/dispatcher.h"

namespace chivewing {

// Values that one process exports as metrics. No label depends on jobs or
// workers, so the number of series is bounded.
struct ClusterMetrics {
  bool ready = false;
  bool is_table_unreachable = false;
  bool is_fed = false;  // job states come from the dispatching host
  std::uint64_t desired_state_version = 0;
  // None before the first read.
  std::optional<Duration> desired_state_read_ago{};
  std::uint64_t desired_state_failed_reads = 0;
  std::uint64_t jobs_known = 0;
  std::uint64_t peers_up = 0;
  // Of the table, after a take-over; see LateRowMonitor.
  std::uint64_t late_rows = 0;
  std::uint64_t registrations_held_back = 0;
  const CallerRequestCounters* callers = nullptr;
  const Dispatcher* dispatcher = nullptr;  // null while another host dispatches
};

// The metrics in the Prometheus text format.
std::string WriteMetrics(const ClusterMetrics& metrics);

}  // namespace chivewing
