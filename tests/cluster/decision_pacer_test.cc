#include "cluster/decision_pacer.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Decides whenever it may, each time for `spent`, and returns the time spent.
Duration DecideFor(DecisionPacer& pacer, TimePoint& now, Duration period,
                   Duration spent) {
  const TimePoint end = now + period;
  Duration total{0};
  while (now < end) {
    now = std::max(now + milliseconds(1), pacer.next_decision());
    now += spent;
    total += spent;
    pacer.OnDecision(now, spent);
  }
  return total;
}

TEST(DecisionPacerTest, DecisionsLeaveHalfOfTheTimeToOtherThreads) {
  DecisionPacer pacer;
  TimePoint now(std::chrono::hours(1));
  const Duration spent = DecideFor(pacer, now, seconds(10), milliseconds(26));
  EXPECT_LE(spent, seconds(5) + milliseconds(52));
}

TEST(DecisionPacerTest, AShortDecisionIsHardlyDelayed) {
  DecisionPacer pacer;
  const TimePoint now(std::chrono::hours(1));
  pacer.OnDecision(now, std::chrono::microseconds(200));
  EXPECT_LE(pacer.next_decision(), now + milliseconds(1));
}

TEST(DecisionPacerTest, OverloadBeginsAndEndsWithHysteresis) {
  DecisionPacer pacer;
  TimePoint now(std::chrono::hours(1));
  DecideFor(pacer, now, seconds(2), std::chrono::microseconds(100));
  EXPECT_FALSE(pacer.overloaded());
  DecideFor(pacer, now, seconds(2), milliseconds(26));
  EXPECT_TRUE(pacer.overloaded());
  DecideFor(pacer, now, seconds(1), std::chrono::microseconds(100));
  EXPECT_TRUE(pacer.overloaded()) << "one calm second does not end it";
  DecideFor(pacer, now, seconds(3), std::chrono::microseconds(100));
  EXPECT_FALSE(pacer.overloaded());
}

}  // namespace
}  // namespace chivewing
