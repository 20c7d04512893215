#pragma once

#include <cstdint>
#include <functional>

#include "base/id.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "peer/messages.h"
#include "routing/routing_id.h"
#include "store/table.h"

namespace chivewing {

// What the request flow reaches outside for. Each call returns at once; ends
// come back as events.
struct RequestCallbacks {
  std::function<void(DispatchId, HttpRequest)> send_to_target;
  std::function<void(ProbeId, HttpRequest)> probe_target;
  // False when the peer is not up or its queue is full.
  std::function<bool(const HostId&, const PeerMessage&)> send_peer;
  std::function<void(const TableTransaction&)> commit_claims;
  std::function<void(std::uint64_t call_id, HttpServerResponse)>
      respond_to_caller;
  // Nothing of this host runs on the instance any more.
  std::function<void(const InstanceId&)> notify_instance_drained;
};

}  // namespace chivewing
