// Caching the rows of a table that responds late, not at all, or has lost its
// history.

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
  // The rows of the hosts have been read.
  void ReadHosts() {
    watcher_.Tick(now_);
    table_.prefix_reads.at(0).second(ReadResponse{.ok = true});
    table_.prefix_reads.at(1).second(ReadResponse{.ok = true});
  }
  void Start() {
    watcher_.set_needs_all_rows(true);
    ReadHosts();
    watcher_.Tick(now_);
    table_.full_reads.front()(Rows(3));
    watcher_.set_needs_all_rows(false);
  }
  void AdvanceTime(milliseconds time) {
    now_ += time;
    watcher_.Tick(now_);
  }

  TimePoint now_{std::chrono::hours(1)};
  FakeTable table_;
  int rows_received_ = 0;
  TableWatcher watcher_{
      table_.interface(), "host/h1", [this](auto event) { event(now_); },
      [this](TimePoint, const TableRow&) { ++rows_received_; }};
};

TEST_F(TableWatcherTest, ReadsAllThenFollowsFromThere) {
  EXPECT_FALSE(watcher_.ready());
  Start();
  EXPECT_TRUE(watcher_.ready());
  EXPECT_EQ(rows_received_, 1);
  AdvanceTime(milliseconds(300));
  ASSERT_EQ(table_.change_reads.size(), 1U);
  EXPECT_EQ(table_.change_reads.front().first, 3U);
  table_.change_reads.front().second(Rows(3));
  EXPECT_EQ(rows_received_, 1) << "a row is handed on once a version";
}

TEST_F(TableWatcherTest, ReadsAllAgainWhenTheHistoryIsLost) {
  Start();
  AdvanceTime(milliseconds(300));
  ChangesResponse lost;
  lost.history_lost = true;
  watcher_.set_needs_all_rows(true);
  table_.change_reads.front().second(lost);
  EXPECT_FALSE(watcher_.ready());
  AdvanceTime(milliseconds(1));
  EXPECT_EQ(table_.full_reads.size(), 2U);
}

TEST_F(TableWatcherTest, TakesASilentTableForLost) {
  Start();
  AdvanceTime(milliseconds(300));
  EXPECT_FALSE(watcher_.IsTableUnreachable(now_ + milliseconds(900)));
  EXPECT_TRUE(watcher_.IsTableUnreachable(now_ + milliseconds(1200)));
  table_.change_reads.front().second(Rows(4));
  EXPECT_FALSE(watcher_.IsTableUnreachable(now_));
}

TEST_F(TableWatcherTest, TableWithErrorsBecomesUnreachable) {
  Start();
  AdvanceTime(milliseconds(300));
  table_.change_reads.front().second(ChangesResponse{});
  EXPECT_FALSE(watcher_.IsTableUnreachable(now_));
  EXPECT_TRUE(watcher_.IsTableUnreachable(now_ + milliseconds(1200)));
}

// Callers are rejected until the table responds again, so retries must not wait
// for a change.
TEST_F(TableWatcherTest, LooksSoonAndWithoutWaitingForATableThatWasAway) {
  Start();
  AdvanceTime(milliseconds(300));
  for (int fault = 0; fault < 8; ++fault) {
    const std::size_t reads = table_.change_reads.size();
    table_.change_reads.back().second(ChangesResponse{});
    AdvanceTime(milliseconds(200));
    ASSERT_EQ(table_.change_reads.size(), reads + 1) << "fault " << fault;
    EXPECT_EQ(table_.change_read_waits.back(), milliseconds(0));
  }
}

// Completes the read of the row that is polled while a peer feeds the host.
void AnswerProbe(FakeTable& table, std::uint64_t revision) {
  ASSERT_FALSE(table.reads.empty());
  EXPECT_EQ(table.reads.back().first, "host/h1");
  table.reads.back().second(ReadResponse{
      .ok = true, .revision = revision, .clock = milliseconds(5000)});
}

TEST_F(TableWatcherTest, AFedHostReadsOneRowInsteadOfTheChanges) {
  Start();
  watcher_.OnFed(now_, 8);
  for (std::uint64_t revision = 9; revision < 15; ++revision) {
    AdvanceTime(milliseconds(300));
    AnswerProbe(table_, revision);
    watcher_.OnFed(now_, revision);
  }
  EXPECT_TRUE(table_.change_reads.empty());
  EXPECT_EQ(table_.reads.size(), 6U);
  EXPECT_EQ(watcher_.cache().revision(), 14U);
  EXPECT_TRUE(watcher_.ready());
  EXPECT_TRUE(watcher_.clock().At(now_));
}

TEST_F(TableWatcherTest, ReadsOnFromWhereASilentFeedHasEnded) {
  Start();
  watcher_.OnFed(now_, 8);
  AdvanceTime(milliseconds(1100));
  ASSERT_EQ(table_.change_reads.size(), 1U);
  EXPECT_EQ(table_.change_reads.front().first, 8U);
  EXPECT_TRUE(table_.full_reads.size() == 1);
}

// A dispatching host that the table does not reach goes on feeding what it
// knew.
TEST_F(TableWatcherTest, AFeedThatFallsBehindTheTableDoesNotCount) {
  Start();
  watcher_.OnFed(now_, 8);
  AdvanceTime(milliseconds(300));
  AnswerProbe(table_, 20);
  watcher_.OnFed(now_, 8);
  AdvanceTime(milliseconds(300));
  AnswerProbe(table_, 30);
  AdvanceTime(milliseconds(1));
  ASSERT_EQ(table_.change_reads.size(), 1U);
  EXPECT_EQ(table_.change_reads.front().first, 8U);
  table_.change_reads.back().second(Rows(30));
  watcher_.OnFed(now_, 8);
  EXPECT_FALSE(watcher_.IsFed(now_));
  watcher_.OnFed(now_, 31);
  EXPECT_TRUE(watcher_.IsFed(now_));
}

// A fed host does not see the renewals of the lease: it must not take them for
// overdue.
TEST_F(TableWatcherTest, AFedHostDoesNotFollowTheLease) {
  Start();
  EXPECT_TRUE(watcher_.TableAvailableSince(now_));
  watcher_.OnFed(now_, 8);
  EXPECT_FALSE(watcher_.TableAvailableSince(now_));
  AdvanceTime(milliseconds(1100));
  EXPECT_FALSE(watcher_.TableAvailableSince(now_)) << "has not read changes";
  table_.change_reads.back().second(Rows(9));
  EXPECT_EQ(watcher_.TableAvailableSince(now_), now_);
}

// A host of a zone that is cut off went on taking callers for two seconds.
TEST_F(TableWatcherTest, LooksAtOnceForTheTableWhenTheFeedIsSilent) {
  Start();
  watcher_.OnFed(now_, 8);
  AdvanceTime(milliseconds(300));  // a read of the single row is under way
  watcher_.OnFeedSilent(now_);
  AdvanceTime(milliseconds(1));
  ASSERT_EQ(table_.change_reads.size(), 1U);
  EXPECT_EQ(table_.change_reads.front().first, 8U);
  EXPECT_EQ(table_.change_read_waits.back(), milliseconds(0));
  AdvanceTime(milliseconds(500));
  EXPECT_FALSE(watcher_.IsTableUnreachable(now_));
  AdvanceTime(milliseconds(150));
  EXPECT_TRUE(watcher_.IsTableUnreachable(now_));
  AnswerProbe(table_, 9);
  EXPECT_TRUE(watcher_.IsTableUnreachable(now_)) << "a response from before";
  table_.change_reads.back().second(Rows(9));
  EXPECT_FALSE(watcher_.IsTableUnreachable(now_));
}

TEST_F(TableWatcherTest, AFedTableWithoutResponseIsUnreachable) {
  Start();
  watcher_.OnFed(now_, 8);
  AdvanceTime(milliseconds(300));
  for (int i = 0; i < 12; ++i) {
    now_ += milliseconds(100);
    watcher_.OnFed(now_, 8);
  }
  EXPECT_TRUE(watcher_.IsTableUnreachable(now_));
  AnswerProbe(table_, 8);
  EXPECT_FALSE(watcher_.IsTableUnreachable(now_));
}

TEST_F(TableWatcherTest, AFedHostReadsAllRowsBeforeItDispatches) {
  Start();
  watcher_.OnFed(now_, 8);
  bool done = false;
  watcher_.CatchUp(now_, 0, [&](TimePoint) { done = true; });
  watcher_.OnFed(now_, 12);
  EXPECT_LT(watcher_.cache().revision(), 12U);
  AdvanceTime(milliseconds(1));
  ASSERT_EQ(table_.full_reads.size(), 2U);
  EXPECT_TRUE(watcher_.ready()) << "callers are served meanwhile";
  EXPECT_FALSE(done);
  table_.full_reads.back()(Rows(12));
  EXPECT_TRUE(done);
}

TEST_F(TableWatcherTest, NotesWhenAllRowsWereReadLast) {
  EXPECT_EQ(watcher_.all_rows_read_at(), TimePoint{});
  Start();
  const TimePoint first = now_;
  EXPECT_EQ(watcher_.all_rows_read_at(), first);
  AdvanceTime(milliseconds(300));
  table_.change_reads.front().second(Rows(4));
  EXPECT_EQ(watcher_.all_rows_read_at(), first) << "changes alone";
  watcher_.OnFed(now_, 8);
  watcher_.CatchUp(now_, 0, [](TimePoint) {});
  AdvanceTime(milliseconds(1));
  ASSERT_EQ(table_.full_reads.size(), 2U);
  table_.full_reads.back()(ChangesResponse{});
  EXPECT_EQ(watcher_.all_rows_read_at(), first) << "the read failed";
  AdvanceTime(milliseconds(300));
  ASSERT_EQ(table_.full_reads.size(), 3U);
  table_.full_reads.back()(Rows(12));
  EXPECT_EQ(watcher_.all_rows_read_at(), now_);
}

TEST_F(TableWatcherTest, AHostThatMayHaveToDispatchIsNotFed) {
  Start();
  watcher_.OnFed(now_, 8);
  watcher_.set_needs_all_rows(true);
  AdvanceTime(milliseconds(300));
  ASSERT_EQ(table_.full_reads.size(), 2U);
  table_.full_reads.back()(Rows(9));
  watcher_.OnFed(now_, 12);
  EXPECT_EQ(watcher_.cache().revision(), 9U);
  AdvanceTime(milliseconds(300));
  EXPECT_EQ(table_.change_reads.size(), 1U);
  EXPECT_EQ(table_.change_reads.front().first, 9U);
}

// Each host that starts reads all rows otherwise, which grows with hosts x
// rows.
TEST_F(TableWatcherTest, AStartingHostWaitsForAFeedInsteadOfReadingAllRows) {
  ReadHosts();
  EXPECT_EQ(table_.prefix_reads.at(0).first, "host/");
  EXPECT_FALSE(watcher_.TakesFeed());
  AdvanceTime(milliseconds(1));
  EXPECT_TRUE(watcher_.TakesFeed());
  EXPECT_EQ(watcher_.cache().revision(), 0U) << "it needs all statuses";
  AdvanceTime(milliseconds(1000));
  EXPECT_FALSE(watcher_.ready());
  watcher_.OnFed(now_, 8);
  EXPECT_TRUE(watcher_.ready());
  EXPECT_TRUE(watcher_.IsFed(now_));
  EXPECT_TRUE(table_.full_reads.empty());
  AdvanceTime(milliseconds(1));
  AnswerProbe(table_, 8);
}

TEST_F(TableWatcherTest, AStartingHostWithoutAFeedReadsAllRowsAfterAWhile) {
  ReadHosts();
  AdvanceTime(milliseconds(2900));
  EXPECT_TRUE(table_.full_reads.empty());
  AdvanceTime(milliseconds(200));
  ASSERT_EQ(table_.full_reads.size(), 1U);
  watcher_.OnFed(now_, 8);
  EXPECT_FALSE(watcher_.ready()) << "a feed that comes later has a gap";
  table_.full_reads.back()(Rows(9));
  EXPECT_TRUE(watcher_.ready());
}

TEST_F(TableWatcherTest, AFeedFillsWhatTheTableHasForgotten) {
  Start();
  AdvanceTime(milliseconds(300));
  ChangesResponse lost;
  lost.history_lost = true;
  table_.change_reads.front().second(lost);
  AdvanceTime(milliseconds(1));
  EXPECT_TRUE(watcher_.TakesFeed());
  EXPECT_EQ(watcher_.cache().revision(), 3U) << "from where it has read";
  watcher_.OnFed(now_, 20);
  EXPECT_TRUE(watcher_.ready());
  EXPECT_EQ(table_.full_reads.size(), 1U);
}

TEST_F(TableWatcherTest, CatchUpWaitsForAReadStartedLater) {
  Start();
  AdvanceTime(milliseconds(300));
  bool done = false;
  watcher_.CatchUp(now_, 0, [&](TimePoint) { done = true; });
  table_.change_reads.front().second(Rows(4));
  EXPECT_FALSE(done) << "asked for before";
  AdvanceTime(milliseconds(1));
  ASSERT_EQ(table_.change_reads.size(), 2U);
  table_.change_reads.back().second(Rows(5));
  EXPECT_TRUE(done);
}

// A read that had begun before the lease was acquired, and one that was
// answered with an older state, counted as whole: tasks that were done ran
// again (TWICE).
TEST_F(TableWatcherTest, CatchUpWaitsForTheRevisionThatWasWritten) {
  Start();
  AdvanceTime(milliseconds(300));
  bool done = false;
  watcher_.CatchUp(now_, 9, [&](TimePoint) { done = true; });
  AdvanceTime(milliseconds(1));
  ASSERT_EQ(table_.change_reads.size(), 2U);
  table_.change_reads.back().second(Rows(8));
  EXPECT_FALSE(done);
  AdvanceTime(milliseconds(200));
  ASSERT_EQ(table_.full_reads.size(), 2U) << "changes alone may have a gap";
  table_.full_reads.back()(Rows(8));
  EXPECT_FALSE(done);
  AdvanceTime(milliseconds(200));
  ASSERT_EQ(table_.full_reads.size(), 3U);
  table_.full_reads.back()(Rows(9));
  EXPECT_TRUE(done);
}

// A host that is about to dispatch is fed by nobody.
TEST_F(TableWatcherTest, CatchUpWaitsForNoFeed) {
  Start();
  AdvanceTime(milliseconds(300));
  watcher_.CatchUp(now_, 0, [](TimePoint) {});
  AdvanceTime(milliseconds(1));
  ChangesResponse lost;
  lost.history_lost = true;
  table_.change_reads.back().second(lost);
  AdvanceTime(milliseconds(1));
  EXPECT_EQ(table_.full_reads.size(), 2U);
}

// Of the changes up to its revision, a feed holds only what callers ask for.
TEST_F(TableWatcherTest, AFeedDuringAReadOfAllRowsHidesNoChange) {
  ReadHosts();
  AdvanceTime(milliseconds(1));
  watcher_.OnFed(now_, 3);
  watcher_.set_needs_all_rows(true);
  AdvanceTime(milliseconds(300));
  ASSERT_EQ(table_.full_reads.size(), 1U);
  watcher_.set_needs_all_rows(false);
  watcher_.OnFed(now_, 9);
  table_.full_reads.back()(Rows(5));
  watcher_.CatchUp(now_, 0, [](TimePoint) {});
  AdvanceTime(milliseconds(1));
  // The rows are those of revision 5: what follows must be read.
  const bool reads_all = table_.full_reads.size() == 2;
  const bool reads_changes =
      !table_.change_reads.empty() && table_.change_reads.back().first <= 5;
  EXPECT_TRUE(reads_all || reads_changes);
}

}  // namespace
}  // namespace chivewing
