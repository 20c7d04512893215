#pragma once

#include <chrono>
#include <optional>

#include "base/time.h"

namespace chivewing {

// The steady clock of the platform's table, which its responses carry, as this
// host reckons it between them. All hosts share it, so a time noted by one host
// can be read by another, whatever their times of day say. No I/O.
class TableClock {
 public:
  // A response that arrived at `now` carried this reading.
  void OnReading(TimePoint now, std::chrono::milliseconds reading);
  // The table's clock at `now`; nullopt before the first reading.
  std::optional<std::chrono::milliseconds> At(TimePoint now) const;
  // When the table's clock showed `reading`, on this host's clock, but not
  // after `now`; nullopt before the first reading.
  std::optional<TimePoint> ToLocal(TimePoint now,
                                   std::chrono::milliseconds reading) const;

 private:
  std::optional<std::chrono::milliseconds> reading_;
  TimePoint read_at_{};
};

}  // namespace chivewing
