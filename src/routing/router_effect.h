#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/result_code.h"
#include "base/time.h"
#include "routing/load_report.h"
#include "routing/routing_id.h"

namespace chivewing {

// Send the request to the instance; ends in Router::OnDispatchCompleted.
struct Dispatch {
  DispatchId dispatch{};
  RequestId request;
  InstanceId instance;
  std::string address;
  std::uint64_t share_epoch = 0;
  Duration timeout{};
  // Open a new connection for it, reuse none.
  bool fresh_connection = false;
};

// Send the request to the peer; ends in Router::OnForwardCompleted or
// OnPeerLost.
struct ForwardToPeer {
  HostId peer;
  ForwardId forward_id{};
  RequestId request;
  Duration remaining{};
  bool claimed = false;
};

// Answer a local caller. With kOk the body is that of the dispatch or hop
// named here.
struct RespondToCaller {
  RequestId request;
  ResultCode code = ResultCode::kInternal;
  std::optional<DispatchId> dispatch;
  std::optional<ForwardId> forward_id;
};

// Answer the peer that forwarded the request.
struct RespondToPeer {
  HostId peer;
  ForwardId forward_id{};
  RequestId request;
  ResultCode code = ResultCode::kInternal;
  std::optional<DispatchId> dispatch;
  LoadReport load;
};

// Tell the peer this load, unasked.
struct SendLoadReport {
  HostId peer;
  LoadReport report;
};

// Ask the instance for its status over a new connection; ends in
// Router::OnProbeCompleted.
struct ProbeInstance {
  ProbeId probe{};
  InstanceId instance;
  std::string address;
  Duration timeout{};
};

// Close all idle connections to the instance.
struct CloseConnections {
  InstanceId instance;
};

// A leaving instance has no work of ours left: its share can be released.
struct NotifyInstanceDrained {
  InstanceId instance;
};

using RouterEffect = std::variant<Dispatch, ForwardToPeer, RespondToCaller,
                                  RespondToPeer, SendLoadReport, ProbeInstance,
                                  CloseConnections, NotifyInstanceDrained>;
using RouterEffects = std::vector<RouterEffect>;

}  // namespace chivewing
