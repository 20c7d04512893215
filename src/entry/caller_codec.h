#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "http/http_server.h"
#include "outcome/claim_effects.h"

namespace chivewing {

// How a code ends a request: done, certainly not run, or unknown.
OutcomeState OutcomeStateOf(ResultCode code);

// The HTTP status for a code without an answer of an instance.
int HttpStatusOf(ResultCode code);

// The answer to a caller: the instance's body when done, otherwise JSON with
// the outcome, the code and a sentence. `request` is echoed when not empty.
HttpServerResponse MakeCallerResponse(const Outcome& outcome,
                                      std::string_view detail,
                                      const std::string& request);

// JSON answer with a code, its name and a sentence.
HttpServerResponse MakeErrorResponse(const Error& error);

}  // namespace chivewing
