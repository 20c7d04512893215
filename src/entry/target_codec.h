#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "base/id.h"
#include "http/http_client.h"
#include "routing/instance_view.h"
#include "routing/router_effect.h"
#include "routing/target_outcome.h"

namespace chivewing {

// The call that carries a request to an instance.
HttpRequest MakeRunCall(const Dispatch& dispatch, const std::string& body,
                        const std::string& idempotency_key);
// The call that asks an instance for its status, on a new connection.
HttpRequest MakeStatusCall(const ProbeInstance& probe);

// How the dispatch of `request` ended. An answer that names another request is
// not its answer.
TargetOutcome JudgeAnswer(const RequestId& request, const HttpAnswer& answer);

// An instance's status; nothing when the call failed.
std::optional<TargetStatus> ReadStatus(const HttpAnswer& answer);

}  // namespace chivewing
