#pragma once

#include <cstdint>
#include <string>

#include "cluster/caller_request_handler.h"
#include "dispatch/dispatcher.h"

namespace chivewing {

// What one process counts for its operators. No label grows with jobs or
// workers.
struct ClusterMetrics {
  bool ready = false;
  bool is_table_unreachable = false;  // the table is out of this host's reach
  std::uint64_t desired_state_version = 0;
  std::uint64_t jobs_known = 0;
  std::uint64_t peers_up = 0;
  const CallerRequestCounters* callers = nullptr;
  const Dispatcher* dispatcher = nullptr;  // none: another host dispatches
};

// The metrics as text in the format of Prometheus.
std::string WriteMetrics(const ClusterMetrics& metrics);

}  // namespace chivewing
