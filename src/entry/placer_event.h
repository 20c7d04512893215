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

// Rows of a higher version than before.
struct RowsUpdated {
  std::vector<TableRow> rows;
};

// The platform's list of the zone's workers, asked for at `asked_at`.
struct WorkerListReceived {
  TimePoint requested_at;
  Duration lag{0};
  std::vector<PlatformHost> workers;
};

// All rows committed before the refresh was asked for have been seen.
struct PlacerRefreshCompleted {
  std::uint64_t token = 0;
};

// Position of this host among the live entry hosts of the zone; the first one
// renews task leases while nobody is the placer.
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
