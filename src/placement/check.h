#pragma once

#include <string_view>

namespace chivewing {

// Logs `sentence` and ends the process.
[[noreturn]] void FailCheck(std::string_view message);

// Asserts an invariant in every build: going on with broken sums would hand a
// worker more than it holds.
inline void Check(bool condition, std::string_view message) {
  if (!condition) FailCheck(message);
}

}  // namespace chivewing
