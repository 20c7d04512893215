#pragma once

#include <string_view>

namespace chivewing {

// Logs `message` as an error and aborts the process.
[[noreturn]] void FailCheck(std::string_view message);

// Checks an invariant in every build and aborts when `condition` is false:
// continuing with wrong sums could overcommit a worker.
inline void Check(bool condition, std::string_view message) {
  if (!condition) FailCheck(message);
}

}  // namespace chivewing
