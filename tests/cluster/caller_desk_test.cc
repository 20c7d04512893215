// What callers are told, and when, while the table answers, refuses or is out
// of reach.

#include "cluster/caller_desk.h"

#include <gtest/gtest.h>

#include <map>

#include "cluster/fake_table_calls.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

class CallerDeskTest : public testing::Test {
 protected:
  CallerDeskTest() {
    DesiredState state;
    state.version = 1;
    Queue queue;
    queue.name = "q";
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.service = "s";
    state.queues.push_back(queue);
    queue.name = "inner";
    queue.path_prefix = "/q/inner/";
    state.queues.push_back(queue);
    queues_.Take(state);
  }

  std::uint64_t Call(CallKind kind, const std::string& path,
                     const std::string& host = "h") {
    CallerCall call;
    call.kind = kind;
    call.host = host;
    call.path = path;
    call.time_limit = milliseconds(3000);
    desk_.OnCall(now_, ++last_call_, call, "");
    return last_call_;
  }
  void AnswerCommit(CommitStatus status) {
    auto [transaction, done] = table_.commits.front();
    table_.commits.pop_front();
    CommitAnswer answer;
    answer.status = status;
    answer.revision = 5;
    if (status == CommitStatus::kConflict) {
      answer.rows.push_back(
          {transaction.writes[0].key, transaction.writes[0].value, 4, "other"});
    }
    done(answer);
  }
  void Pass(milliseconds time) {
    now_ += time;
    desk_.Tick(now_);
  }
  ReplyKind ReplyTo(std::uint64_t call) { return replies_.at(call).kind; }

  const std::string job_ = "5c0e7a21d94b36f8";
  TimePoint now_{std::chrono::hours(1)};
  bool lost_ = false;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, CallerReply> replies_;
  FakeTableCalls table_;
  QueueTable queues_;
  JobIndex index_;
  CallerDesk desk_{
      table_.calls(),
      queues_,
      index_,
      {.post = [this](auto event) { event(now_); },
       .answer =
           [this](std::uint64_t call, const CallerReply& reply) {
             EXPECT_FALSE(replies_.contains(call)) << "answered twice";
             replies_[call] = reply;
           },
       .on_row = [this](TimePoint, const TableRow& row) { index_.OnRow(row); },
       .table_lost = [this](TimePoint) { return lost_; },
       .wall = [] { return milliseconds(1000); },
       .decode_job = [](const std::string&) -> Result<JobDescription> {
         JobDescription job;
         job.steps.resize(1);
         return job;
       }}};
};

TEST_F(CallerDeskTest, AcknowledgesAJobOnlyWhenItIsStored) {
  const std::uint64_t call = Call(CallKind::kSubmit, "/q/" + job_);
  EXPECT_FALSE(replies_.contains(call));
  AnswerCommit(CommitStatus::kCommitted);
  EXPECT_EQ(ReplyTo(call), ReplyKind::kAccepted);
  EXPECT_EQ(ReplyTo(Call(CallKind::kState, "/q/" + job_)), ReplyKind::kState);
}

TEST_F(CallerDeskTest, TheSameJobAgainIsOneJob) {
  const std::uint64_t first = Call(CallKind::kSubmit, "/q/" + job_);
  const std::uint64_t second = Call(CallKind::kSubmit, "/q/" + job_);
  EXPECT_EQ(table_.commits.size(), 1U);
  AnswerCommit(CommitStatus::kConflict);
  EXPECT_EQ(ReplyTo(first), ReplyKind::kAccepted);
  EXPECT_EQ(ReplyTo(second), ReplyKind::kAccepted);
  EXPECT_EQ(ReplyTo(Call(CallKind::kSubmit, "/q/" + job_)),
            ReplyKind::kAccepted);
}

TEST_F(CallerDeskTest, RefusesWhatTheTableCertainlyDidNotTake) {
  const std::uint64_t call = Call(CallKind::kSubmit, "/q/" + job_);
  for (int i = 0; i < 4; ++i) {
    ASSERT_EQ(table_.commits.size(), 1U);
    AnswerCommit(CommitStatus::kUnavailable);
    Pass(milliseconds(400));
  }
  EXPECT_EQ(ReplyTo(call), ReplyKind::kNotRun);
  EXPECT_GT(replies_[call].retry_after.count(), 0);
}

TEST_F(CallerDeskTest, NeverRefusesWhatMayBeStored) {
  const std::uint64_t call = Call(CallKind::kSubmit, "/q/" + job_);
  AnswerCommit(CommitStatus::kUnknown);
  for (int i = 0; i < 5; ++i) {
    Pass(milliseconds(400));
    if (!table_.commits.empty()) AnswerCommit(CommitStatus::kUnavailable);
  }
  EXPECT_FALSE(replies_.contains(call));
  Pass(milliseconds(1000));
  EXPECT_EQ(ReplyTo(call), ReplyKind::kInDoubt);
}

TEST_F(CallerDeskTest, RefusesAtOnceWhileTheTableIsOutOfReach) {
  lost_ = true;
  for (const CallKind kind :
       {CallKind::kSubmit, CallKind::kState, CallKind::kCancel}) {
    EXPECT_EQ(ReplyTo(Call(kind, "/q/" + job_)), ReplyKind::kNotRun);
  }
  EXPECT_TRUE(table_.commits.empty());
}

TEST_F(CallerDeskTest, SaysEarlyThatAnOutcomeIsInDoubt) {
  const std::uint64_t call = Call(CallKind::kSubmit, "/q/" + job_);
  Pass(milliseconds(800));
  EXPECT_FALSE(replies_.contains(call));
  lost_ = true;
  Pass(milliseconds(10));
  EXPECT_EQ(ReplyTo(call), ReplyKind::kInDoubt);
}

TEST_F(CallerDeskTest, LooksUnknownJobsUpBeforeItDeniesThem) {
  const std::uint64_t call = Call(CallKind::kState, "/q/" + job_);
  ASSERT_EQ(table_.reads.size(), 1U);
  EXPECT_EQ(table_.reads.front().first, "job/" + job_);
  table_.reads.front().second(ReadAnswer{.ok = true});
  EXPECT_EQ(ReplyTo(call), ReplyKind::kNoJob);
  const std::uint64_t cancel = Call(CallKind::kCancel, "/q/" + job_);
  table_.reads.back().second(ReadAnswer{.ok = false});
  EXPECT_EQ(ReplyTo(cancel), ReplyKind::kNotRun);
}

TEST_F(CallerDeskTest, ACancelIsStoredBeforeItIsAcknowledged) {
  Call(CallKind::kSubmit, "/q/" + job_);
  AnswerCommit(CommitStatus::kCommitted);
  const std::uint64_t cancel = Call(CallKind::kCancel, "/q/" + job_);
  ASSERT_EQ(table_.commits.size(), 1U);
  EXPECT_EQ(table_.commits.front().first.writes[0].key, "cancel/" + job_);
  AnswerCommit(CommitStatus::kCommitted);
  EXPECT_EQ(ReplyTo(cancel), ReplyKind::kCancelled);
  const std::uint64_t state = Call(CallKind::kState, "/q/" + job_);
  EXPECT_EQ(replies_[state].state, JobPhase::kCancelled);
}

struct PathCase {
  const char* name;
  CallKind kind;
  const char* host;
  const char* path;
  ReplyKind reply;
};

class CallerPathTest : public CallerDeskTest,
                       public testing::WithParamInterface<PathCase> {};

TEST_P(CallerPathTest, IsAnsweredAtOnce) {
  const PathCase& c = GetParam();
  EXPECT_EQ(ReplyTo(Call(c.kind, c.path, c.host)), c.reply);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CallerPathTest,
    testing::Values(PathCase{"OtherHost", CallKind::kSubmit, "x",
                             "/q/5c0e7a21d94b36f8", ReplyKind::kNoQueue},
                    PathCase{"OtherPath", CallKind::kState, "h",
                             "/z/5c0e7a21d94b36f8", ReplyKind::kNoQueue},
                    PathCase{"ShortId", CallKind::kSubmit, "h", "/q/5c0e",
                             ReplyKind::kBadRequest},
                    PathCase{"NoHexId", CallKind::kSubmit, "h",
                             "/q/zc0e7a21d94b36f8", ReplyKind::kBadRequest},
                    PathCase{"Method", CallKind::kUnknown, "h",
                             "/q/5c0e7a21d94b36f8", ReplyKind::kBadRequest},
                    PathCase{"Waiting", CallKind::kState, "h", "/q/",
                             ReplyKind::kWaiting},
                    PathCase{"LongestPrefix", CallKind::kState, "h",
                             "/q/inner/", ReplyKind::kWaiting}),
    [](const auto& info) { return info.param.name; });

TEST(JobIndexTest, CountsJobsWithoutAStartedTask) {
  JobIndex index;
  JobRecord record;
  record.queue.name = "q";
  record.spec.steps.resize(1);
  for (const char* id : {"a", "b", "c"}) {
    record.id = JobId(id);
    index.OnRow({JobRecordKey(record.id), EncodeJobRecord(record), 1, ""});
  }
  EXPECT_EQ(index.CountWaiting("q"), 3U);
  JobProgress progress;
  progress.state = JobPhase::kRunning;
  index.OnRow({ProgressRowKey(JobId("a")), EncodeJobProgress(progress), 2, ""});
  index.OnRow({CancelRowKey(JobId("b")), "{}", 3, ""});
  EXPECT_EQ(index.CountWaiting("q"), 1U);
  EXPECT_EQ(index.StateOf(JobId("b")), JobPhase::kCancelled);
  index.OnRow({JobRecordKey(JobId("d")), "not json", 4, ""});
  EXPECT_FALSE(index.StateOf(JobId("d")));
}

TEST(QueueTableTest, VersionsOnlyRise) {
  QueueTable table;
  DesiredState state;
  state.version = 7;
  EXPECT_TRUE(table.Take(state));
  state.version = 5;
  EXPECT_FALSE(table.Take(state));
  EXPECT_EQ(table.state().version, 7U);
}

}  // namespace
}  // namespace chivewing
