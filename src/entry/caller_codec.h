#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "http/http_server.h"
#include "outcome/claim_effects.h"

namespace chivewing {

// Conversion of outcomes and errors to HTTP responses for callers. No I/O.

// The outcome that a result code stands for: done, certainly not run, or
// unknown (the request may have run).
OutcomeState OutcomeStateOf(ResultCode code);

// The HTTP status for a result code when there is no response of an instance.
int HttpStatusOf(ResultCode code);

// The response to a caller: the instance's status and body when done, otherwise
// JSON with the outcome, the code, its name and `detail`. `request` is the
// caller's request id, echoed as X-Request-Id when not empty.
HttpServerResponse MakeCallerResponse(const Outcome& outcome,
                                      std::string_view detail,
                                      const std::string& request);

// A JSON response with the code, its name and the detail of the error.
HttpServerResponse MakeErrorResponse(const Error& error);

}  // namespace chivewing
