#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "store/table.h"
#include "workers/worker_request.h"

namespace chivewing {

// Operations that PlacerController needs from its host process. No callback
// blocks; results come back as PlacerEvents.
struct PlacerCallbacks {
  std::function<void(const TableTransaction&)> commit;
  std::function<void(const WorkerRequest&)> send_worker_request;
  // Publishes rows that this host has committed to its own cache and to peers.
  std::function<void(std::vector<TableRow>)> publish_committed_rows;
  // PlacerRefreshCompleted with this token follows.
  std::function<void(std::uint64_t token)> request_refresh;
  // Milliseconds since the Unix epoch (UTC).
  std::function<std::chrono::milliseconds()> wall_time;
};

}  // namespace chivewing
