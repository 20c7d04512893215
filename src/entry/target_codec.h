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

// The call that carries a request to an instance.
HttpRequest MakeRunRequest(const Dispatch& dispatch, const std::string& body,
                           const std::string& idempotency_key);
// The call that asks an instance for its status, on a new connection.
HttpRequest MakeStatusRequest(const ProbeInstance& probe);

// How the dispatch of `request` ended. An answer that names another request is
// not its answer.
TargetOutcome ClassifyResponse(const RequestId& request,
                               const HttpResponse& response);

// An instance's status; nothing when the call failed.
std::optional<TargetStatus> ParseTargetStatus(const HttpResponse& response);

}  // namespace chivewing
