// Following the rows of a table that answers late, not at all, or has forgotten
// its history.

#include "cluster/table_watcher.h"

#include <gtest/gtest.h>

#include "cluster/fake_table_calls.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

class TableWatcherTest : public testing::Test {
 protected:
  ChangesResponse Rows(std::uint64_t revision) {
    ChangesResponse answer;
    answer.ok = true;
    answer.revision = revision;
    answer.rows.push_back({"job/a", "value", revision, "w"});
    return answer;
  }
  void Start() {
    follower_.Tick(now_);
    table_.all_reads.front()(Rows(3));
  }
  void Pass(milliseconds time) {
    now_ += time;
    follower_.Tick(now_);
  }

  TimePoint now_{std::chrono::hours(1)};
  FakeTableCalls table_;
  int rows_ = 0;
  TableWatcher follower_{table_.calls(), [this](auto event) { event(now_); },
                         [this](TimePoint, const TableRow&) { ++rows_; }};
};

TEST_F(TableWatcherTest, ReadsAllThenFollowsFromThere) {
  EXPECT_FALSE(follower_.ready());
  Start();
  EXPECT_TRUE(follower_.ready());
  EXPECT_EQ(rows_, 1);
  Pass(milliseconds(300));
  ASSERT_EQ(table_.change_reads.size(), 1U);
  EXPECT_EQ(table_.change_reads.front().first, 3U);
  table_.change_reads.front().second(Rows(3));
  EXPECT_EQ(rows_, 1) << "a row is handed on once a version";
}

TEST_F(TableWatcherTest, ReadsAllAgainWhenTheHistoryIsLost) {
  Start();
  Pass(milliseconds(300));
  ChangesResponse lost;
  lost.history_lost = true;
  table_.change_reads.front().second(lost);
  EXPECT_FALSE(follower_.ready());
  Pass(milliseconds(1));
  EXPECT_EQ(table_.all_reads.size(), 2U);
}

TEST_F(TableWatcherTest, TakesASilentTableForLost) {
  Start();
  Pass(milliseconds(300));
  EXPECT_FALSE(follower_.IsTableUnreachable(now_ + milliseconds(900)));
  EXPECT_TRUE(follower_.IsTableUnreachable(now_ + milliseconds(1200)));
  table_.change_reads.front().second(Rows(4));
  EXPECT_FALSE(follower_.IsTableUnreachable(now_));
}

TEST_F(TableWatcherTest, TakesARefusingTableForLostAfterAWhile) {
  Start();
  Pass(milliseconds(300));
  table_.change_reads.front().second(ChangesResponse{});
  EXPECT_FALSE(follower_.IsTableUnreachable(now_));
  EXPECT_TRUE(follower_.IsTableUnreachable(now_ + milliseconds(1200)));
}

// Callers are refused until the table has answered again.
TEST_F(TableWatcherTest, LooksSoonAndWithoutWaitingForATableThatWasAway) {
  Start();
  Pass(milliseconds(300));
  for (int fault = 0; fault < 8; ++fault) {
    const std::size_t reads = table_.change_reads.size();
    table_.change_reads.back().second(ChangesResponse{});
    Pass(milliseconds(200));
    ASSERT_EQ(table_.change_reads.size(), reads + 1) << "fault " << fault;
    EXPECT_EQ(table_.waits.back(), milliseconds(0));
  }
}

TEST_F(TableWatcherTest, CatchingUpWaitsForAnAnswerAskedForLater) {
  Start();
  Pass(milliseconds(300));
  bool done = false;
  follower_.CatchUp(now_, [&](TimePoint) { done = true; });
  table_.change_reads.front().second(Rows(4));
  EXPECT_FALSE(done) << "asked for before";
  Pass(milliseconds(1));
  ASSERT_EQ(table_.change_reads.size(), 2U);
  table_.change_reads.back().second(Rows(5));
  EXPECT_TRUE(done);
}

}  // namespace
}  // namespace chivewing
