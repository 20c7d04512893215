#pragma once

#include <chrono>
#include <functional>

namespace chivewing {

// Monotonic clock that goes on counting while the machine is suspended
// (CLOCK_BOOTTIME), so that a lease cannot look younger than it is.
struct BootClock {
  // Names that the standard library asks of a clock.
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

// Source of the present time for code that may not read a clock itself.
using TimeSource = std::function<TimePoint()>;

// The time of day as milliseconds since 1970 (UTC), for records that people
// read.
std::chrono::milliseconds WallClockNow();

}  // namespace chivewing
