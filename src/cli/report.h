#pragma once

#include <string>

#include "base/result.h"
#include "cli/call_hook.h"
#include "cli/exit_status.h"
#include "cli/verb.h"
#include "schema/fault.h"

namespace chivewing {

// Writes one line to standard error and gives the exit status for the code.
ExitStatus ReportError(const Error& error, const CliHooks& hooks);

// Writes one line for each fault.
ExitStatus ReportFaults(ResultCode code, const Faults& faults,
                        const CliHooks& hooks);

// Reports an answer that is no success.
ExitStatus ReportAnswer(const HttpAnswer& answer, const CliHooks& hooks);

// Exit status that goes with a result code.
ExitStatus StatusOf(ResultCode code);

// What went wrong in a call: its transport fault, or the code and detail of the
// answer's body.
Error ErrorOf(const HttpAnswer& answer);

// Whether the answer is a success.
bool IsSuccess(const HttpAnswer& answer);

}  // namespace chivewing
