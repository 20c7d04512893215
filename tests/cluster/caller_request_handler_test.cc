// What callers are told, and when, while the table answers, refuses or is out
// of reach.

#include "cluster/caller_request_handler.h"

#include <gtest/gtest.h>

#include <map>

#include "cluster/fake_table_calls.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

class CallerRequestHandlerTest : public testing::Test {
 protected:
  CallerRequestHandlerTest() {
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
    queues_.Update(state);
  }

  std::uint64_t Call(CallerRequestKind kind, const std::string& path,
                     const std::string& host = "h") {
    CallerRequest call;
    call.kind = kind;
    call.host = host;
    call.path = path;
    call.timeout = milliseconds(3000);
    desk_.OnCall(now_, ++last_call_, call, "");
    return last_call_;
  }
  void AnswerCommit(CommitStatus status) {
    auto [transaction, done] = table_.commits.front();
    table_.commits.pop_front();
    CommitResponse answer;
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
  CallerResponseKind ReplyTo(std::uint64_t call) {
    return replies_.at(call).kind;
  }

  const std::string job_ = "5c0e7a21d94b36f8";
  TimePoint now_{std::chrono::hours(1)};
  bool lost_ = false;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, CallerResponse> replies_;
  FakeTableCalls table_;
  DesiredStateCache queues_;
  JobStatusIndex index_;
  CallerRequestHandler desk_{
      table_.calls(),
      queues_,
      index_,
      {.post = [this](auto event) { event(now_); },
       .answer =
           [this](std::uint64_t call, const CallerResponse& reply) {
             EXPECT_FALSE(replies_.contains(call)) << "answered twice";
             replies_[call] = reply;
           },
       .on_row = [this](TimePoint, const TableRow& row) { index_.OnRow(row); },
       .is_table_unreachable = [this](TimePoint) { return lost_; },
       .wall_clock = [] { return milliseconds(1000); },
       .decode_job = [](const std::string&) -> Result<JobDescription> {
         JobDescription job;
         job.steps.resize(1);
         return job;
       }}};
};

TEST_F(CallerRequestHandlerTest, AcknowledgesAJobOnlyWhenItIsStored) {
  const std::uint64_t call = Call(CallerRequestKind::kSubmit, "/q/" + job_);
  EXPECT_FALSE(replies_.contains(call));
  AnswerCommit(CommitStatus::kCommitted);
  EXPECT_EQ(ReplyTo(call), CallerResponseKind::kAccepted);
  EXPECT_EQ(ReplyTo(Call(CallerRequestKind::kState, "/q/" + job_)),
            CallerResponseKind::kState);
}

TEST_F(CallerRequestHandlerTest, TheSameJobAgainIsOneJob) {
  const std::uint64_t first = Call(CallerRequestKind::kSubmit, "/q/" + job_);
  const std::uint64_t second = Call(CallerRequestKind::kSubmit, "/q/" + job_);
  EXPECT_EQ(table_.commits.size(), 1U);
  AnswerCommit(CommitStatus::kConflict);
  EXPECT_EQ(ReplyTo(first), CallerResponseKind::kAccepted);
  EXPECT_EQ(ReplyTo(second), CallerResponseKind::kAccepted);
  EXPECT_EQ(ReplyTo(Call(CallerRequestKind::kSubmit, "/q/" + job_)),
            CallerResponseKind::kAccepted);
}

TEST_F(CallerRequestHandlerTest, RefusesWhatTheTableCertainlyDidNotTake) {
  const std::uint64_t call = Call(CallerRequestKind::kSubmit, "/q/" + job_);
  for (int i = 0; i < 4; ++i) {
    ASSERT_EQ(table_.commits.size(), 1U);
    AnswerCommit(CommitStatus::kNotApplied);
    Pass(milliseconds(400));
  }
  EXPECT_EQ(ReplyTo(call), CallerResponseKind::kRetryLater);
  EXPECT_GT(replies_[call].retry_after.count(), 0);
}

TEST_F(CallerRequestHandlerTest, NeverRefusesWhatMayBeStored) {
  const std::uint64_t call = Call(CallerRequestKind::kSubmit, "/q/" + job_);
  AnswerCommit(CommitStatus::kUnknown);
  for (int i = 0; i < 5; ++i) {
    Pass(milliseconds(400));
    if (!table_.commits.empty()) AnswerCommit(CommitStatus::kNotApplied);
  }
  EXPECT_FALSE(replies_.contains(call));
  Pass(milliseconds(1000));
  EXPECT_EQ(ReplyTo(call), CallerResponseKind::kUnconfirmed);
}

TEST_F(CallerRequestHandlerTest, RefusesAtOnceWhileTheTableIsOutOfReach) {
  lost_ = true;
  for (const CallerRequestKind kind :
       {CallerRequestKind::kSubmit, CallerRequestKind::kState,
        CallerRequestKind::kCancel}) {
    EXPECT_EQ(ReplyTo(Call(kind, "/q/" + job_)),
              CallerResponseKind::kRetryLater);
  }
  EXPECT_TRUE(table_.commits.empty());
}

TEST_F(CallerRequestHandlerTest, SaysEarlyThatAnOutcomeIsInDoubt) {
  const std::uint64_t call = Call(CallerRequestKind::kSubmit, "/q/" + job_);
  Pass(milliseconds(800));
  EXPECT_FALSE(replies_.contains(call));
  lost_ = true;
  Pass(milliseconds(10));
  EXPECT_EQ(ReplyTo(call), CallerResponseKind::kUnconfirmed);
}

TEST_F(CallerRequestHandlerTest, LooksUnknownJobsUpBeforeItDeniesThem) {
  const std::uint64_t call = Call(CallerRequestKind::kState, "/q/" + job_);
  ASSERT_EQ(table_.reads.size(), 1U);
  EXPECT_EQ(table_.reads.front().first, "job/" + job_);
  table_.reads.front().second(ReadResponse{.ok = true});
  EXPECT_EQ(ReplyTo(call), CallerResponseKind::kJobNotFound);
  const std::uint64_t cancel = Call(CallerRequestKind::kCancel, "/q/" + job_);
  table_.reads.back().second(ReadResponse{.ok = false});
  EXPECT_EQ(ReplyTo(cancel), CallerResponseKind::kRetryLater);
}

TEST_F(CallerRequestHandlerTest, ACancelIsStoredBeforeItIsAcknowledged) {
  Call(CallerRequestKind::kSubmit, "/q/" + job_);
  AnswerCommit(CommitStatus::kCommitted);
  const std::uint64_t cancel = Call(CallerRequestKind::kCancel, "/q/" + job_);
  ASSERT_EQ(table_.commits.size(), 1U);
  EXPECT_EQ(table_.commits.front().first.writes[0].key, "cancel/" + job_);
  AnswerCommit(CommitStatus::kCommitted);
  EXPECT_EQ(ReplyTo(cancel), CallerResponseKind::kCancelled);
  const std::uint64_t state = Call(CallerRequestKind::kState, "/q/" + job_);
  EXPECT_EQ(replies_[state].state, JobPhase::kCancelled);
}

struct PathCase {
  const char* name;
  CallerRequestKind kind;
  const char* host;
  const char* path;
  CallerResponseKind reply;
};

class CallerPathTest : public CallerRequestHandlerTest,
                       public testing::WithParamInterface<PathCase> {};

TEST_P(CallerPathTest, IsAnsweredAtOnce) {
  const PathCase& c = GetParam();
  EXPECT_EQ(ReplyTo(Call(c.kind, c.path, c.host)), c.reply);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CallerPathTest,
    testing::Values(
        PathCase{"OtherHost", CallerRequestKind::kSubmit, "x",
                 "/q/5c0e7a21d94b36f8", CallerResponseKind::kQueueNotFound},
        PathCase{"OtherPath", CallerRequestKind::kState, "h",
                 "/z/5c0e7a21d94b36f8", CallerResponseKind::kQueueNotFound},
        PathCase{"ShortId", CallerRequestKind::kSubmit, "h", "/q/5c0e",
                 CallerResponseKind::kBadRequest},
        PathCase{"NoHexId", CallerRequestKind::kSubmit, "h",
                 "/q/zc0e7a21d94b36f8", CallerResponseKind::kBadRequest},
        PathCase{"Method", CallerRequestKind::kUnknown, "h",
                 "/q/5c0e7a21d94b36f8", CallerResponseKind::kBadRequest},
        PathCase{"Waiting", CallerRequestKind::kState, "h", "/q/",
                 CallerResponseKind::kWaiting},
        PathCase{"LongestPrefix", CallerRequestKind::kState, "h", "/q/inner/",
                 CallerResponseKind::kWaiting}),
    [](const auto& info) { return info.param.name; });

TEST(JobStatusIndexTest, CountsJobsWithoutAStartedTask) {
  JobStatusIndex index;
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
  EXPECT_EQ(index.PhaseOf(JobId("b")), JobPhase::kCancelled);
  index.OnRow({JobRecordKey(JobId("d")), "not json", 4, ""});
  EXPECT_FALSE(index.PhaseOf(JobId("d")));
}

TEST(DesiredStateCacheTest, VersionsOnlyRise) {
  DesiredStateCache table;
  DesiredState state;
  state.version = 7;
  EXPECT_TRUE(table.Update(state));
  state.version = 5;
  EXPECT_FALSE(table.Update(state));
  EXPECT_EQ(table.state().version, 7U);
}

}  // namespace
}  // namespace chivewing
