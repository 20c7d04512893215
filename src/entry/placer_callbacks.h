#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "store/table.h"
#include "workers/worker_request.h"

namespace chivewing {

// What the placer flow reaches outside for. Each call returns at once; ends
// come back as events.
struct PlacerCallbacks {
  std::function<void(const TableTransaction&)> commit;
  std::function<void(const WorkerRequest&)> send_worker_request;
  // Rows that this host has committed, to be told to everybody.
  std::function<void(std::vector<TableRow>)> publish_committed_rows;
  // Ends in PlacerRefreshCompleted.
  std::function<void(std::uint64_t token)> request_refresh;
  // The time of day as milliseconds since 1970 (UTC).
  std::function<std::chrono::milliseconds()> wall_time;
};

}  // namespace chivewing
