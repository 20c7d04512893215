#pragma once

#include <string>

#include "base/result.h"
#include "cli/blocking_http_call.h"
#include "cli/exit_status.h"
#include "cli/verb.h"
#include "schema/validation_error.h"

namespace chivewing {

// Writes one line to standard error and gives the exit status for the code.
ExitStatus ReportError(const Error& error, const CliEnvironment& hooks);

// Writes one line for each fault.
ExitStatus ReportValidationErrors(ResultCode code,
                                  const ValidationErrors& faults,
                                  const CliEnvironment& hooks);

// Reports an answer that is no success.
ExitStatus ReportFailedResponse(const HttpResponse& answer,
                                const CliEnvironment& hooks);

// Exit status that goes with a result code.
ExitStatus ToExitStatus(ResultCode code);

// What went wrong in a call: its transport fault, or the code and detail of the
// answer's body.
Error ResponseError(const HttpResponse& answer);

// Whether the answer is a success.
bool IsSuccess(const HttpResponse& answer);

}  // namespace chivewing
