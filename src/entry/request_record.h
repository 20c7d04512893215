#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "outcome/claim_effects.h"
#include "routing/router_request.h"

namespace chivewing {

// Which record, if any, allows a request of an entry that is not idempotent to
// run.
enum class ExecutionPermit { kNotNeeded, kClaim, kTicket, kTicketAtPeer };

// One request in progress at this entry host.
struct RequestRecord {
  // The caller's call and id; none for a request that a peer forwarded.
  std::optional<std::uint64_t> call_id;
  std::string caller_request_id;
  // The peer that forwarded it, and the hop to answer it under.
  std::optional<ForwardOrigin> origin;
  EntryName entry;
  std::string idempotency_key;
  std::string body;
  ExecutionPermit permit = ExecutionPermit::kNotNeeded;
  TimePoint arrived;
  TimePoint deadline;
  // The host a ticket was forwarded to.
  HostId ticket_host;
  // The latest whole answer of an instance or peer.
  int status = 0;
  std::string response_body;
};

}  // namespace chivewing
