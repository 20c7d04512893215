#pragma once

#include <string_view>

namespace chivewing {

// Logs `what` and aborts the process when `holds` is false. Checked in every
// build: continuing after a violated invariant could run a request twice.
// `what` states the violation.
void CheckInvariant(bool holds, std::string_view what);

}  // namespace chivewing
