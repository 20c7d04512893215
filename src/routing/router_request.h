#pragma once

#include <chrono>
#include <optional>

#include "base/id.h"
#include "base/time.h"
#include "routing/routing_id.h"

namespace chivewing {

// The peer that forwarded a request, and the forward id to respond with.
struct ForwardOrigin {
  HostId peer;
  ForwardId forward_id{};
};

// A request submitted to the router. The body stays with the caller.
struct RouterRequest {
  // Unique among the requests in progress at this entry host.
  RequestId id;
  EntryName entry;
  // Empty for a request of a local caller.
  std::optional<ForwardOrigin> origin;
  // True when a claim or ticket of a non-idempotent request is recorded.
  bool claimed = false;
  // Time left until its deadline; the class's default when empty.
  std::optional<Duration> remaining;
};

}  // namespace chivewing
