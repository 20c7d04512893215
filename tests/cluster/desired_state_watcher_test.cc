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
    std::uint64_t after = 0;
    std::function<void(DesiredStateUpdate)> done{};
  };

  DesiredStateWatcherTest() {
    platform_.watch_desired_state = [this](std::uint64_t after, milliseconds,
                                           auto done) {
      reads_.push_back({after, done});
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
  EXPECT_EQ(reads_[0].after, 0U);
  Complete(0, Version(7, 20));
  EXPECT_EQ(version(), 7U);
  AdvanceTime(milliseconds(0));
  ASSERT_EQ(reads_.size(), 2U);
  EXPECT_EQ(reads_[1].after, 20U);
}

TEST_F(DesiredStateWatcherTest, ReadsTheWholeStateWhenTheHistoryIsLost) {
  watcher_.Tick(now_);
  Complete(0, Version(7, 20));
  AdvanceTime(milliseconds(0));
  DesiredStateUpdate lost;
  lost.history_lost = true;
  Complete(1, lost);
  AdvanceTime(milliseconds(0));
  ASSERT_EQ(reads_.size(), 3U);
  EXPECT_EQ(reads_[2].after, 0U);
}

TEST_F(DesiredStateWatcherTest, AnOlderVersionIsNotTaken) {
  watcher_.Tick(now_);
  Complete(0, Version(7, 20));
  AdvanceTime(milliseconds(0));
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

}  // namespace
}  // namespace chivewing
