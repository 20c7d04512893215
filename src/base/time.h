#pragma once

#include <chrono>
#include <functional>

namespace chivewing {

// Monotonic clock that includes the time during which the machine is suspended
// (CLOCK_BOOTTIME), so that a lease never appears younger than it is.
struct BootClock {
  // Names that the standard library requires of a clock.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = std::chrono::nanoseconds;

// Returns the current time. Passed to code that must not read a clock itself.
using TimeSource = std::function<TimePoint()>;

// Returns the wall-clock time in milliseconds since 1970 (UTC), for records
// that people read.
std::chrono::milliseconds WallClockNow();

}  // namespace chivewing
