#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "base/time.h"

namespace chivewing {

// Limits how many log lines of one kind are written in a second, so that an
// event that comes in masses leaves room for the other lines of its part.
class LineBudget {
 public:
  explicit LineBudget(int lines_per_second)
      : lines_per_second_(lines_per_second) {}

  // Counts an event. Returns how many events before it got no line, or nullopt
  // if this one gets none either.
  std::optional<std::uint64_t> Admit(TimePoint now) {
    if (now - second_start_ >= std::chrono::seconds(1)) {
      second_start_ = now;
      lines_ = 0;
    }
    if (lines_ >= lines_per_second_) {
      ++unwritten_;
      return std::nullopt;
    }
    ++lines_;
    return std::exchange(unwritten_, 0);
  }

 private:
  int lines_per_second_;
  TimePoint second_start_{};
  int lines_ = 0;
  std::uint64_t unwritten_ = 0;
};

}  // namespace chivewing
