#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "base/id.h"
#include "http/http_client.h"
#include "routing/instance_info.h"
#include "routing/router_effect.h"
#include "routing/target_outcome.h"

namespace chivewing {

// Conversion between router effects and HTTP messages of an instance (target).
// No I/O.

// The HTTP request that runs `body` on an instance (POST /run). An empty
// `idempotency_key` is not sent.
HttpRequest MakeRunRequest(const Dispatch& dispatch, const std::string& body,
                           const std::string& idempotency_key);
// The HTTP request for an instance's status (GET /status), on a new connection.
HttpRequest MakeStatusRequest(const ProbeInstance& probe);

// How the dispatch of `request` ended. A response whose X-Request-Id names
// another request is kBadAnswer.
TargetOutcome ClassifyResponse(const RequestId& request,
                               const HttpResponse& response);

// Parses the response to a status request; nullopt when the request failed or
// the body is malformed.
std::optional<TargetStatus> ParseTargetStatus(const HttpResponse& response);

}  // namespace chivewing
