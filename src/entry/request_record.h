#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "outcome/claim_effects.h"
#include "routing/router_request.h"

namespace chivewing {

// What allows a request to run. A request of an idempotent entry needs no
// permit. kClaim and kTicket are held by this host, which records the outcome;
// kTicketAtPeer: a peer holds the claim or ticket and records the outcome.
enum class ExecutionPermit { kNotNeeded, kClaim, kTicket, kTicketAtPeer };

// One request in progress at this entry host.
struct RequestRecord {
  // The HTTP request to respond to, and the id that the caller gave in
  // X-Request-Id; both empty for a request that a peer forwarded.
  std::optional<std::uint64_t> call_id;
  std::string caller_request_id;
  // The peer that forwarded the request, and the forward id for the response.
  std::optional<ForwardOrigin> origin;
  EntryName entry;
  std::string idempotency_key;
  std::string body;
  ExecutionPermit permit = ExecutionPermit::kNotNeeded;
  TimePoint arrived;
  TimePoint deadline;
  // The host that issued the ticket and was sent the request; kTicketAtPeer
  // only.
  HostId ticket_host;
  // HTTP status and body of the latest complete response of an instance or
  // peer; status 0 when there is none.
  int status = 0;
  std::string response_body;
};

}  // namespace chivewing
