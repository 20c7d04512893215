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

// Outgoing operations of RequestController. Each call returns at once; its
// result arrives later as a RequestEvent.
struct RequestCallbacks {
  std::function<void(DispatchId, HttpRequest)> send_to_target;
  std::function<void(ProbeId, HttpRequest)> probe_target;
  // Returns false when the peer is not connected or its send queue is full.
  std::function<bool(const HostId&, const PeerMessage&)> send_peer;
  std::function<void(const TableTransaction&)> commit_claims;
  std::function<void(std::uint64_t call_id, HttpServerResponse)>
      respond_to_caller;
  // Called when no request of this host runs on the instance any longer.
  std::function<void(const InstanceId&)> notify_instance_drained;
};

}  // namespace chivewing
