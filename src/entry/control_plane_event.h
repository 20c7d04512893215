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

// A call on the operators' port.
struct OperatorRequestReceived {
  HttpServerRequest request;
};

// A caller's call about jobs.
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

// Who sent a transaction of the control duty.
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

// Nothing of this host runs on the instance any more.
struct InstanceDrained {
  InstanceId instance;
};

// The placer wants to have seen all rows committed until now.
struct RefreshRequested {
  std::uint64_t token = 0;
};

// Planned stop: hand over the shares.
struct ControlStopRequested {};

// A duty's part of the state dump.
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
