#include "cluster/lease_handover.h"

#include <gtest/gtest.h>

#include <string>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kOwnMilli = 120;

struct HandoverCase {
  std::string name;
  double busy_part = 0;  // of each turn
  std::int64_t peer_milli = 0;
  bool dispatching = true;
  bool due = false;
  std::int64_t own_milli = kOwnMilli;
};

class LeaseHandoverTest : public testing::TestWithParam<HandoverCase> {};

// A weak host kept the lease beside sound stronger ones, and had no time left
// for the responses of the table (the unanswered day, LOST).
TEST_P(LeaseHandoverTest, ABusyHostGivesWayToAStrongerOne) {
  const HandoverCase& each = GetParam();
  constexpr milliseconds turn{20};
  LeaseHandover handover;
  TimePoint now(std::chrono::hours(1));
  bool due = false;
  for (const TimePoint end = now + seconds(10); now < end; now += turn) {
    handover.OnTurn(now + turn,
                    std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(turn) * each.busy_part));
    due |= handover.IsDue(now + turn, each.dispatching, each.own_milli,
                          each.peer_milli);
  }
  EXPECT_EQ(due, each.due);
}

INSTANTIATE_TEST_SUITE_P(
    Hosts, LeaseHandoverTest,
    testing::Values(
        HandoverCase{"BusyBesideAStrongerOne", 0.9, 500, true, true},
        HandoverCase{"HasTime", 0.4, 500, true, false},
        HandoverCase{"BusyBesideEquals", 0.9, 120, true, false},
        HandoverCase{"BusyBesideALittleStronger", 0.9, 200, true, false},
        HandoverCase{"BusyAndAlone", 0.9, 0, true, false},
        HandoverCase{"OwnTimeIsNotKnown", 0.9, 500, true, false, 0},
        HandoverCase{"NoTimeIsKnown", 0.9, 0, true, false, 0},
        HandoverCase{"DoesNotDispatch", 0.9, 500, false, false}),
    [](const auto& param) { return param.param.name; });

// Take-overs do not follow each other at once, however busy the hosts are.
TEST(LeaseHandoverTimeTest, AHostThatHasJustBegunKeepsTheLease) {
  LeaseHandover handover;
  const TimePoint start(std::chrono::hours(1));
  constexpr milliseconds turn{20};
  TimePoint now = start;
  while (!handover.IsDue(now, true, kOwnMilli, 500)) {
    now += turn;
    handover.OnTurn(now, turn);
  }
  EXPECT_GE(now, start + seconds(3));
  EXPECT_LE(now, start + seconds(4));
}

}  // namespace
}  // namespace chivewing
