#include "cluster/job_age.h"

#include <gtest/gtest.h>

#include <random>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kTableStart{50000};
constexpr milliseconds kWallStart{1'000'000'000};

milliseconds Since(TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now - kStart);
}

// Jobs are accepted by hosts, and read by a dispatching host, whose times of
// day jump by up to 10 s: to the reader they are as old as they are.
TEST(JobAgeTest, DoesNotDependOnTimesOfDay) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    const auto jump = [&random] {
      return milliseconds(static_cast<int>(random() % 20000) - 10000);
    };
    TableClock accepting;
    TableClock reading;
    accepting.OnReading(kStart, kTableStart);
    reading.OnReading(kStart, kTableStart);
    const TimePoint accepted = kStart + milliseconds(random() % 30000);
    const TimePoint read = accepted + milliseconds(random() % 9000);
    JobRecord record;
    record.accepted_at = kWallStart + Since(accepted) + jump();
    record.accepted_at_table = accepting.At(accepted);
    const milliseconds wall = kWallStart + Since(read) + jump();
    EXPECT_EQ(AcceptedAt(read, wall, reading, record), accepted)
        << "seed " << seed;
  }
}

// All jobs counted as accepted just now, and so as unknown to the dispatching
// host before (TWICE).
TEST(JobAgeTest, ATimeThatTheClockHasNotReachedIsNotKnown) {
  TableClock started_again;
  started_again.OnReading(kStart, milliseconds(0));
  JobRecord record;
  record.accepted_at_table = kTableStart;
  EXPECT_FALSE(AcceptedByTableClock(kStart, started_again, record));
  record.accepted_at_table = milliseconds(0);
  EXPECT_EQ(AcceptedByTableClock(kStart, started_again, record), kStart);
}

TEST(JobAgeTest, FallsBackToTheTimeOfDayButNeverAhead) {
  const TableClock unknown;
  JobRecord record;
  record.accepted_at = kWallStart;
  EXPECT_EQ(AcceptedAt(kStart, kWallStart + seconds(2), unknown, record),
            kStart - seconds(2));
  EXPECT_EQ(AcceptedAt(kStart, kWallStart - seconds(2), unknown, record),
            kStart);
}

}  // namespace
}  // namespace chivewing
