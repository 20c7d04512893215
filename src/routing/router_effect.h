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

// Send the request to the instance; its outcome goes to
// Router::OnDispatchCompleted.
struct Dispatch {
  DispatchId dispatch{};
  RequestId request;
  InstanceId instance;
  std::string address;
  std::uint64_t share_epoch = 0;
  Duration timeout{};
  // True when a new connection must be opened instead of reusing an idle one.
  bool fresh_connection = false;
};

// Forward the request to the peer; ends in Router::OnForwardCompleted or
// OnPeerLost.
struct ForwardToPeer {
  HostId peer;
  ForwardId forward_id{};
  RequestId request;
  Duration remaining{};
  bool claimed = false;
};

// Respond to a local caller. With kOk the body is that of the dispatch or
// forward named here.
struct RespondToCaller {
  RequestId request;
  ResultCode code = ResultCode::kInternal;
  std::optional<DispatchId> dispatch;
  std::optional<ForwardId> forward_id;
};

// Respond to the peer that forwarded the request.
struct RespondToPeer {
  HostId peer;
  ForwardId forward_id{};
  RequestId request;
  ResultCode code = ResultCode::kInternal;
  std::optional<DispatchId> dispatch;
  LoadReport load;
};

// Send the peer an unsolicited load report.
struct SendLoadReport {
  HostId peer;
  LoadReport report;
};

// Request the instance's status over a new connection; the result goes to
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

// A leaving instance runs no more requests of this host: its assignment can be
// released.
struct NotifyInstanceDrained {
  InstanceId instance;
};

// Effects of a Router call, which the caller carries out in order.
using RouterEffect = std::variant<Dispatch, ForwardToPeer, RespondToCaller,
                                  RespondToPeer, SendLoadReport, ProbeInstance,
                                  CloseConnections, NotifyInstanceDrained>;
using RouterEffects = std::vector<RouterEffect>;

}  // namespace chivewing
