// Following the desired state while reads fail or get no response.

#include "cluster/desired_state_watcher.h"

#include <gtest/gtest.h>

#include <deque>
#include <utility>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

class DesiredStateWatcherTest : public testing::Test {
 protected:
  struct PendingRead {
    DesiredStateRead read{};
    std::function<void(DesiredStateUpdate)> done{};
  };

  DesiredStateWatcherTest() {
    platform_.watch_desired_state = [this](const DesiredStateRead& read,
                                           auto done) {
      reads_.push_back({read, done});
    };
  }
  static DesiredStateUpdate Version(std::uint64_t version,
                                    std::uint64_t revision) {
    DesiredStateUpdate update;
    update.ok = true;
    update.revision = revision;
    update.state.emplace().version = version;
    return update;
  }
  void Complete(std::size_t read, const DesiredStateUpdate& update) {
    reads_.at(read).done(update);
  }
  // The whole state has been read, and a read of its changes is in flight.
  void Start() {
    watcher_.Tick(now_);
    Complete(0, Version(7, 20));
    watcher_.Tick(now_);
    ASSERT_EQ(reads_.size(), 2U);
  }
  void AdvanceTime(milliseconds time) {
    now_ += time;
    watcher_.Tick(now_);
  }
  std::uint64_t version() const { return watcher_.cache().state().version; }

  TimePoint now_{std::chrono::hours(1)};
  PlatformInterface platform_;
  std::deque<PendingRead> reads_;
  DesiredStateWatcher watcher_{platform_, [this](auto run) { run(now_); }};
};

TEST_F(DesiredStateWatcherTest, ReadsTheWholeStateThenItsChanges) {
  watcher_.Tick(now_);
  ASSERT_EQ(reads_.size(), 1U);
  EXPECT_EQ(reads_[0].read.after, 0U);
  Complete(0, Version(7, 20));
  EXPECT_EQ(version(), 7U);
  AdvanceTime(milliseconds(0));
  ASSERT_EQ(reads_.size(), 2U);
  EXPECT_EQ(reads_[1].read.after, 20U);
}

TEST_F(DesiredStateWatcherTest, ReadsTheWholeStateWhenTheHistoryIsLost) {
  Start();
  DesiredStateUpdate lost;
  lost.history_lost = true;
  Complete(1, lost);
  AdvanceTime(milliseconds(0));
  ASSERT_EQ(reads_.size(), 3U);
  EXPECT_EQ(reads_[2].read.after, 0U);
}

TEST_F(DesiredStateWatcherTest, AnOlderVersionIsNotTaken) {
  Start();
  Complete(1, Version(6, 21));
  EXPECT_EQ(version(), 7U);
}

TEST_F(DesiredStateWatcherTest, TellsTheTimeSinceTheLastGoodRead) {
  EXPECT_EQ(watcher_.TimeSinceLastRead(now_), std::nullopt);
  watcher_.Tick(now_);
  Complete(0, Version(7, 20));
  AdvanceTime(milliseconds(400));
  Complete(1, DesiredStateUpdate{});
  AdvanceTime(milliseconds(150));
  EXPECT_EQ(watcher_.TimeSinceLastRead(now_), milliseconds(550));
  EXPECT_EQ(watcher_.failed_reads(), 1U);
  ASSERT_EQ(reads_.size(), 3U) << "reads again after an error";
  Complete(2, Version(8, 21));
  EXPECT_EQ(watcher_.TimeSinceLastRead(now_), milliseconds(0));
}

// The time by which a version has to be known allows for one read without a
// response, not for two.
TEST_F(DesiredStateWatcherTest, AnOverdueReadIsNotWaitedFor) {
  Start();
  EXPECT_FALSE(reads_[1].read.new_connection);
  AdvanceTime(milliseconds(1499));
  EXPECT_EQ(reads_.size(), 2U);
  AdvanceTime(milliseconds(1));
  ASSERT_EQ(reads_.size(), 3U);
  EXPECT_EQ(reads_[2].read.after, 20U);
  EXPECT_TRUE(reads_[2].read.new_connection);
  Complete(2, Version(8, 25));
  EXPECT_EQ(version(), 8U);
  AdvanceTime(milliseconds(0));
  ASSERT_EQ(reads_.size(), 4U) << "follows on, beside the overdue read";
  EXPECT_EQ(reads_[3].read.after, 25U);
}

TEST_F(DesiredStateWatcherTest, AnOverdueReadIsAppliedWhenItEnds) {
  Start();
  AdvanceTime(milliseconds(1500));
  Complete(1, Version(8, 25));
  EXPECT_EQ(version(), 8U);
  Complete(2, Version(9, 30));
  EXPECT_EQ(version(), 9U);
  AdvanceTime(milliseconds(0));
  ASSERT_EQ(reads_.size(), 4U);
  EXPECT_EQ(reads_[3].read.after, 30U);
  EXPECT_FALSE(reads_[3].read.new_connection);
}

TEST_F(DesiredStateWatcherTest, NoMoreThanTwoReadsAreInFlight) {
  Start();
  for (int i = 0; i < 10; ++i) AdvanceTime(milliseconds(500));
  EXPECT_EQ(reads_.size(), 3U);
  Complete(1, DesiredStateUpdate{});
  AdvanceTime(milliseconds(0));
  EXPECT_EQ(reads_.size(), 4U) << "the second one is overdue too";
}

TEST_F(DesiredStateWatcherTest, AnOverdueReadThatFailsChangesNothing) {
  Start();
  AdvanceTime(milliseconds(1500));
  Complete(2, Version(8, 25));
  AdvanceTime(milliseconds(0));
  Complete(1, DesiredStateUpdate{});
  AdvanceTime(milliseconds(150));
  EXPECT_EQ(reads_.size(), 4U) << "the newest read goes on";
  Complete(3, Version(9, 30));
  EXPECT_EQ(version(), 9U);
}

}  // namespace
}  // namespace chivewing
