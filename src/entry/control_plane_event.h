#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "entry/request_event.h"
#include "http/http_server.h"
#include "peer/peer_mesh_types.h"
#include "store/table.h"

namespace chivewing {

// A request on the operator port.
struct OperatorRequestReceived {
  HttpServerRequest request;
};

// A caller's request to /v1/jobs.
struct JobRequestReceived {
  HttpServerRequest request;
};

struct ChangesReceived {
  ChangesResponse response;
};

struct HostListReceived {
  HostListResponse response;
  TimePoint requested_at;
};

struct RowReadCompleted {
  std::uint64_t read_id = 0;
  ReadResponse response;
};

// Component of the control plane that issued a transaction.
enum class CommitOrigin { kAssignments, kCatalogue, kJobs };

struct ControlCommitCompleted {
  CommitOrigin origin = CommitOrigin::kAssignments;
  std::string write_id;
  CommitResponse response;
};

// Rows that this host has committed.
struct RowsCommitted {
  std::vector<TableRow> rows;
};

// No request of this host runs on the instance.
struct InstanceDrained {
  InstanceId instance;
};

// The placer needs all rows committed up to now; PlacerRefreshCompleted with
// `token` answers it.
struct RefreshRequested {
  std::uint64_t token = 0;
};

// A planned stop has begun: release all assignments.
struct ControlStopRequested {};

// One component's part of a state dump.
struct StateDumpPart {
  std::uint64_t call_id = 0;
  std::string name;
  std::string json;
};

using ControlPlaneEvent =
    std::variant<OperatorRequestReceived, JobRequestReceived, ChangesReceived,
                 HostListReceived, RowReadCompleted, ControlCommitCompleted,
                 RowsCommitted, InstanceDrained, RefreshRequested, PeerEvent,
                 ControlStopRequested, StateDumpPart, StateDumpRequested>;

}  // namespace chivewing
