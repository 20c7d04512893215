#include "store/table_clock.h"

#include <algorithm>
#include <string>

#include "base/log.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// The table's clock may run slower than this host's by this fraction.
constexpr int kDriftHundredths = 2;
constexpr int kWhole = 100;

// A response is read at most so late: a reading that is further behind is of a
// clock that has started again.
constexpr milliseconds kMaxReadingDelay{30'000};

milliseconds Slowed(Duration span) {
  return std::chrono::duration_cast<milliseconds>(
      span * (kWhole - kDriftHundredths) / kWhole);
}

}  // namespace

// Responses are delayed by varying times: a reading that is further ahead had
// less delay.
void TableClock::OnReading(TimePoint now, milliseconds reading) {
  if (reading_ && reading + kMaxReadingDelay < *At(now)) {
    LogWarning(LogPart::kPlatform,
               "the table's clock has started again reading_ms=" +
                   std::to_string(reading.count()) +
                   " expected_ms=" + std::to_string(At(now)->count()));
    reading_.reset();
  }
  if (reading_ && reading < *reading_ + Slowed(now - read_at_)) return;
  reading_ = reading;
  read_at_ = now;
}

std::optional<milliseconds> TableClock::At(TimePoint now) const {
  if (!reading_) return std::nullopt;
  return *reading_ + std::chrono::duration_cast<milliseconds>(now - read_at_);
}

std::optional<TimePoint> TableClock::ToLocal(TimePoint now,
                                             milliseconds reading) const {
  if (!reading_) return std::nullopt;
  return std::min(now, read_at_ + (reading - *reading_));
}

}  // namespace chivewing
