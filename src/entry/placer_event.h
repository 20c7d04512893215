#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "entry/request_event.h"
#include "store/table.h"
#include "workers/worker_request.h"

namespace chivewing {

// Rows that changed: each has a higher version than the one reported before.
struct RowsUpdated {
  std::vector<TableRow> rows;
};

// The platform's list of the zone's workers. It may lag behind by up to `lag`.
struct WorkerListReceived {
  TimePoint requested_at;
  Duration lag{0};
  std::vector<PlatformHost> workers;
};

// All rows committed before the refresh was requested have been posted.
struct PlacerRefreshCompleted {
  std::uint64_t token = 0;
};

// Position of this host among the live entry hosts of the zone, from 0. The
// host of rank 0 renews task leases while the zone has no placer.
struct RankChanged {
  std::size_t rank = 0;
};

struct PlacerCommitCompleted {
  std::string write_id;
  CommitResponse response;
};

struct WorkerResponseReceived {
  WorkerResponse response;
};

struct PlacerStopRequested {};

using PlacerEvent =
    std::variant<RowsUpdated, WorkerListReceived, PlacerRefreshCompleted,
                 RankChanged, PlacerCommitCompleted, WorkerResponseReceived,
                 PlacerStopRequested, StateDumpRequested>;

}  // namespace chivewing
