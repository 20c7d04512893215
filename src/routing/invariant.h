#pragma once

#include <string_view>

namespace chivewing {

// Ends the process with a log line when `holds` is false. Checked in every
// build: going on after a broken invariant could run a request twice.
void CheckInvariant(bool holds, std::string_view what);

}  // namespace chivewing
