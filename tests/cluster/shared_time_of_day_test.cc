#include "cluster/shared_time_of_day.h"

#include <gtest/gtest.h>

#include <random>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTrueOffset{1'700'000'000'000};
constexpr milliseconds kOwn{5};

JobRecord AcceptedBy(milliseconds table_clock, milliseconds error) {
  JobRecord record;
  record.accepted_at_table = table_clock;
  record.accepted_at = table_clock + kTrueOffset + error;
  return record;
}

// Four of ten hosts, and this one, are wrong by up to 10 s, and jump again and
// again.
TEST(SharedTimeOfDayTest, AFewHostsThatJumpDoNotMoveIt) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    const auto jump = [&random] {
      return milliseconds(static_cast<int>(random() % 20000) - 10000);
    };
    SharedTimeOfDay time_of_day;
    milliseconds table_clock{50000};
    for (int i = 0; i < 500; ++i) {
      table_clock += milliseconds(random() % 100);
      const bool wrong = random() % 10 < 3;
      const milliseconds skew(random() % 40);
      time_of_day.OnJob(AcceptedBy(table_clock, wrong ? jump() : skew));
      if (i < 63) continue;
      const milliseconds own = table_clock + kTrueOffset + jump();
      const milliseconds error =
          time_of_day.At(table_clock, own) - table_clock - kTrueOffset;
      EXPECT_LT(std::chrono::abs(error), milliseconds(250))
          << "seed " << seed << " job " << i;
    }
  }
}

// A deployment whose clocks are all set anew follows them.
TEST(SharedTimeOfDayTest, FollowsTheMajority) {
  SharedTimeOfDay time_of_day;
  for (int i = 0; i < 100; ++i) {
    time_of_day.OnJob(AcceptedBy(milliseconds(i), milliseconds(0)));
  }
  for (int i = 100; i < 140; ++i) {
    time_of_day.OnJob(AcceptedBy(milliseconds(i), milliseconds(3000)));
  }
  EXPECT_EQ(time_of_day.At(milliseconds(200), kOwn),
            kTrueOffset + milliseconds(3200));
}

TEST(SharedTimeOfDayTest, ThisHostsTimeCountsWhileTooFewOthersAreKnown) {
  SharedTimeOfDay time_of_day;
  EXPECT_EQ(time_of_day.At(milliseconds(1), kOwn), kOwn);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(time_of_day.At(std::nullopt, kOwn), kOwn);
    JobRecord without_table_clock;
    without_table_clock.accepted_at = milliseconds(1);
    time_of_day.OnJob(without_table_clock);
    EXPECT_EQ(time_of_day.At(milliseconds(1), kOwn), kOwn);
  }
  time_of_day.OnJob(AcceptedBy(milliseconds(1), milliseconds(0)));
  EXPECT_EQ(time_of_day.At(milliseconds(1), kOwn), kOwn);
}

}  // namespace
}  // namespace chivewing
