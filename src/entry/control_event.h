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
#include "peer/mesh_types.h"
#include "store/table.h"

namespace chivewing {

// A call on the operators' port.
struct OperatorCalled {
  HttpCall call;
};

// A caller's call about jobs.
struct JobCalled {
  HttpCall call;
};

struct ChangesArrived {
  ChangesAnswer answer;
};

struct HostsArrived {
  HostListAnswer answer;
  TimePoint asked_at;
};

struct RowsArrived {
  std::uint64_t read = 0;
  ReadAnswer answer;
};

// Who sent a transaction of the control duty.
enum class CommitSender { kShares, kCatalogue, kJobs };

struct ControlCommitted {
  CommitSender sender = CommitSender::kShares;
  std::string write_id;
  CommitAnswer answer;
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
struct RefreshAsked {
  std::uint64_t token = 0;
};

// Planned stop: hand over the shares.
struct ControlStop {};

// A duty's part of the state dump.
struct StatePart {
  std::uint64_t call = 0;
  std::string name;
  std::string json;
};

using ControlEvent =
    std::variant<OperatorCalled, JobCalled, ChangesArrived, HostsArrived,
                 RowsArrived, ControlCommitted, RowsCommitted, InstanceDrained,
                 RefreshAsked, PeerEvent, ControlStop, StatePart, StateAsked>;

}  // namespace chivewing
