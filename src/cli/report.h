#pragma once

#include <string>

#include "base/result.h"
#include "cli/blocking_http_call.h"
#include "cli/exit_status.h"
#include "cli/verb.h"
#include "schema/validation_error.h"

namespace chivewing {

// Writes one line to standard error and returns the exit status of the code.
ExitStatus ReportError(const Error& error, const CliEnvironment& hooks);

// Writes one line per validation error and returns the exit status of the code.
ExitStatus ReportValidationErrors(ResultCode code,
                                  const ValidationErrors& faults,
                                  const CliEnvironment& hooks);

// Writes the error of a response that is not a success and returns its exit
// status.
ExitStatus ReportFailedResponse(const HttpResponse& answer,
                                const CliEnvironment& hooks);

// Returns the exit status of a result code.
ExitStatus ToExitStatus(ResultCode code);

// Returns the error of a failed request: the transport error, or the code and
// detail in the response body.
Error ResponseError(const HttpResponse& answer);

// Returns true for a complete response with a 2xx status.
bool IsSuccess(const HttpResponse& answer);

}  // namespace chivewing
