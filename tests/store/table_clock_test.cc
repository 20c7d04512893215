#include "store/table_clock.h"

#include <gtest/gtest.h>

#include <random>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kMaxDelay{400};
constexpr milliseconds kAllowedError{120};
constexpr TimePoint kStart{std::chrono::hours(1)};

TEST(TableClockTest, IsNotKnownBeforeTheFirstReading) {
  const TableClock clock;
  EXPECT_FALSE(clock.At(kStart));
  EXPECT_FALSE(clock.ToLocal(kStart, milliseconds(1)));
}

TEST(TableClockTest, NeverGivesATimeThatLiesAhead) {
  TableClock clock;
  clock.OnReading(kStart, milliseconds(5000));
  EXPECT_EQ(clock.ToLocal(kStart, milliseconds(5200)), kStart);
  EXPECT_EQ(clock.ToLocal(kStart, milliseconds(4000)), kStart - seconds(1));
}

// Readings arrive with a delay of up to `kMaxDelay`; the host's clock is up to
// 1% quicker than the table's.
TEST(TableClockTest, StaysWithinTheLeastDelayOfSlowResponses) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    TableClock clock;
    const double rate = 0.99 + 0.01 * static_cast<double>(random() % 100) / 100;
    const auto table_at = [rate](TimePoint at) {
      const std::chrono::duration<double, std::milli> passed = at - kStart;
      return std::chrono::duration_cast<milliseconds>(passed * rate) +
             milliseconds(9000);
    };
    TimePoint now = kStart;
    for (int i = 0; i < 200; ++i) {
      now += milliseconds(300);
      const milliseconds delay(i == 0 ? 2 : random() % kMaxDelay.count());
      clock.OnReading(now, table_at(now - delay));
      const milliseconds error = table_at(now) - *clock.At(now);
      EXPECT_LT(std::chrono::abs(error), kAllowedError)
          << "seed " << seed << " reading " << i;
    }
  }
}

// Times noted by the clock before then lie ahead of it.
TEST(TableClockTest, FollowsAClockThatHasStartedAgain) {
  TableClock clock;
  const TimePoint start{std::chrono::hours(1)};
  clock.OnReading(start, std::chrono::hours(2));
  const TimePoint later = start + std::chrono::seconds(5);
  clock.OnReading(later, std::chrono::milliseconds(700));
  EXPECT_EQ(clock.At(later), std::chrono::milliseconds(700));
}

}  // namespace
}  // namespace chivewing
