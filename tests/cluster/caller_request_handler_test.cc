// Responses to callers while the table responds, rejects writes or is
// unreachable.

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
    desired_state_.Update(state);
  }

  std::uint64_t Request(CallerRequestKind kind, const std::string& path,
                        const std::string& host = "h") {
    CallerRequest call;
    call.kind = kind;
    call.host = host;
    call.path = path;
    call.timeout = milliseconds(3000);
    handler_.OnRequest(now_, ++last_call_id_, call, "");
    return last_call_id_;
  }
  void CompleteCommit(CommitStatus status) {
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
  void AdvanceTime(milliseconds time) {
    now_ += time;
    handler_.Tick(now_);
  }
  CallerResponseKind ResponseKind(std::uint64_t call) {
    return responses_.at(call).kind;
  }

  const std::string job_ = "5c0e7a21d94b36f8";
  TimePoint now_{std::chrono::hours(1)};
  bool table_unreachable_ = false;
  std::optional<milliseconds> table_clock_;
  Duration desired_state_age_{0};
  std::uint64_t last_call_id_ = 0;
  std::map<std::uint64_t, CallerResponse> responses_;
  FakeTable table_;
  DesiredStateCache desired_state_;
  JobStatusIndex job_status_;
  CallerRequestHandler handler_{
      table_.interface(),
      desired_state_,
      job_status_,
      {.post = [this](auto event) { event(now_); },
       .respond_to_caller =
           [this](std::uint64_t call, const CallerResponse& reply) {
             EXPECT_FALSE(responses_.contains(call)) << "answered twice";
             responses_[call] = reply;
           },
       .on_row = [this](TimePoint,
                        const TableRow& row) { job_status_.OnRow(row); },
       .is_table_unreachable = [this](TimePoint) { return table_unreachable_; },
       .wall_clock = [] { return milliseconds(1000); },
       .decode_job = [](const std::string&) -> Result<JobDescription> {
         JobDescription job;
         job.steps.resize(1);
         return job;
       },
       .table_clock = [this](TimePoint) { return table_clock_; },
       .time_since_desired_state_read =
           [this](TimePoint) { return desired_state_age_; }}};
};

TEST_F(CallerRequestHandlerTest, AcknowledgesAJobOnlyOnceItIsStored) {
  const std::uint64_t call = Request(CallerRequestKind::kSubmit, "/q/" + job_);
  EXPECT_FALSE(responses_.contains(call));
  CompleteCommit(CommitStatus::kCommitted);
  EXPECT_EQ(ResponseKind(call), CallerResponseKind::kAccepted);
  EXPECT_EQ(ResponseKind(Request(CallerRequestKind::kState, "/q/" + job_)),
            CallerResponseKind::kState);
}

TEST_F(CallerRequestHandlerTest, AnUnknownQueueIsNotDeniedByAHostThatIsBehind) {
  desired_state_age_ = milliseconds(1700);
  const std::string path = "/added/" + job_;
  EXPECT_EQ(ResponseKind(Request(CallerRequestKind::kSubmit, path)),
            CallerResponseKind::kQueueNotFound);
  desired_state_age_ = milliseconds(1800);
  const std::uint64_t call = Request(CallerRequestKind::kSubmit, path);
  EXPECT_EQ(ResponseKind(call), CallerResponseKind::kRetryLater);
  EXPECT_GT(responses_.at(call).retry_after, milliseconds(0));
  EXPECT_FALSE(
      responses_.contains(Request(CallerRequestKind::kSubmit, "/q/" + job_)))
      << "a known queue is served";
}

TEST_F(CallerRequestHandlerTest, AJobCarriesTheTimeOfTheTablesClock) {
  table_clock_ = milliseconds(77);
  Request(CallerRequestKind::kSubmit, "/q/" + job_);
  const Result<JobRecord> record = DecodeJobRecord(
      JobId(job_), *table_.commits.front().first.writes.front().value);
  ASSERT_TRUE(record);
  EXPECT_EQ(record.value().accepted_at_table, milliseconds(77));
}

TEST_F(CallerRequestHandlerTest, RepeatedSubmitStoresOneJob) {
  const std::uint64_t first = Request(CallerRequestKind::kSubmit, "/q/" + job_);
  const std::uint64_t second =
      Request(CallerRequestKind::kSubmit, "/q/" + job_);
  EXPECT_EQ(table_.commits.size(), 1U);
  CompleteCommit(CommitStatus::kConflict);
  EXPECT_EQ(ResponseKind(first), CallerResponseKind::kAccepted);
  EXPECT_EQ(ResponseKind(second), CallerResponseKind::kAccepted);
  EXPECT_EQ(ResponseKind(Request(CallerRequestKind::kSubmit, "/q/" + job_)),
            CallerResponseKind::kAccepted);
}

TEST_F(CallerRequestHandlerTest, TellsCallerToRetryWhenTheWriteWasNotApplied) {
  const std::uint64_t call = Request(CallerRequestKind::kSubmit, "/q/" + job_);
  for (int i = 0; i < 4; ++i) {
    ASSERT_EQ(table_.commits.size(), 1U);
    CompleteCommit(CommitStatus::kNotApplied);
    AdvanceTime(milliseconds(400));
  }
  EXPECT_EQ(ResponseKind(call), CallerResponseKind::kRetryLater);
  EXPECT_GT(responses_[call].retry_after.count(), 0);
}

// A job too large for a row was sent four times, and its caller was told to
// come back.
TEST_F(CallerRequestHandlerTest, RefusesAtOnceWhatTheTableNeverTakes) {
  const std::uint64_t call = Request(CallerRequestKind::kSubmit, "/q/" + job_);
  CompleteCommit(CommitStatus::kRejected);
  EXPECT_EQ(ResponseKind(call), CallerResponseKind::kBadRequest);
  AdvanceTime(milliseconds(500));
  EXPECT_TRUE(table_.commits.empty());
}

TEST_F(CallerRequestHandlerTest, NeverRefusesWhatMayBeStored) {
  const std::uint64_t call = Request(CallerRequestKind::kSubmit, "/q/" + job_);
  CompleteCommit(CommitStatus::kUnknown);
  for (int i = 0; i < 5; ++i) {
    AdvanceTime(milliseconds(400));
    if (!table_.commits.empty()) CompleteCommit(CommitStatus::kNotApplied);
  }
  EXPECT_FALSE(responses_.contains(call));
  AdvanceTime(milliseconds(1000));
  EXPECT_EQ(ResponseKind(call), CallerResponseKind::kUnconfirmed);
}

TEST_F(CallerRequestHandlerTest, RefusesAtOnceWhileTheTableIsOutOfReach) {
  table_unreachable_ = true;
  for (const CallerRequestKind kind :
       {CallerRequestKind::kSubmit, CallerRequestKind::kState,
        CallerRequestKind::kCancel}) {
    EXPECT_EQ(ResponseKind(Request(kind, "/q/" + job_)),
              CallerResponseKind::kRetryLater);
  }
  EXPECT_TRUE(table_.commits.empty());
}

TEST_F(CallerRequestHandlerTest, SaysEarlyThatAnOutcomeIsInDoubt) {
  const std::uint64_t call = Request(CallerRequestKind::kSubmit, "/q/" + job_);
  AdvanceTime(milliseconds(800));
  EXPECT_FALSE(responses_.contains(call));
  table_unreachable_ = true;
  AdvanceTime(milliseconds(10));
  EXPECT_EQ(ResponseKind(call), CallerResponseKind::kUnconfirmed);
}

TEST_F(CallerRequestHandlerTest, ReadsTheTableBeforeReportingAnUnknownJob) {
  const std::uint64_t call = Request(CallerRequestKind::kState, "/q/" + job_);
  ASSERT_EQ(table_.reads.size(), 1U);
  EXPECT_EQ(table_.reads.front().first, "job/" + job_);
  table_.reads.front().second(ReadResponse{.ok = true});
  EXPECT_EQ(ResponseKind(call), CallerResponseKind::kJobNotFound);
  const std::uint64_t cancel =
      Request(CallerRequestKind::kCancel, "/q/" + job_);
  table_.reads.back().second(ReadResponse{.ok = false});
  EXPECT_EQ(ResponseKind(cancel), CallerResponseKind::kRetryLater);
}

// It was said to be queued by a host that had not read its states.
TEST_F(CallerRequestHandlerTest, ReadsTheStateOfAJobThatItDoesNotKnow) {
  const std::uint64_t call = Request(CallerRequestKind::kState, "/q/" + job_);
  JobRecord record;
  record.spec.steps.resize(1);
  JobProgress progress;
  progress.state = JobPhase::kCompleted;
  ASSERT_EQ(table_.reads.size(), 1U);
  table_.reads.back().second(ReadResponse{
      .ok = true, .rows = {{"job/" + job_, EncodeJobRecord(record), 1, "w"}}});
  EXPECT_FALSE(responses_.contains(call));
  ASSERT_EQ(table_.reads.size(), 2U);
  EXPECT_EQ(table_.reads.back().first, "progress/" + job_);
  table_.reads.back().second(ReadResponse{
      .ok = true,
      .rows = {{"progress/" + job_, EncodeJobProgress(progress), 2, "w"}}});
  EXPECT_EQ(responses_.at(call).state, JobPhase::kCompleted);
}

TEST_F(CallerRequestHandlerTest, ACancelIsStoredBeforeItIsAcknowledged) {
  Request(CallerRequestKind::kSubmit, "/q/" + job_);
  CompleteCommit(CommitStatus::kCommitted);
  const std::uint64_t cancel =
      Request(CallerRequestKind::kCancel, "/q/" + job_);
  ASSERT_EQ(table_.commits.size(), 1U);
  EXPECT_EQ(table_.commits.front().first.writes[0].key, "cancel/" + job_);
  CompleteCommit(CommitStatus::kCommitted);
  EXPECT_EQ(ResponseKind(cancel), CallerResponseKind::kCancelled);
  const std::uint64_t state = Request(CallerRequestKind::kState, "/q/" + job_);
  EXPECT_EQ(responses_[state].state, JobPhase::kCancelled);
}

// Guards against a job that runs although its cancel was acknowledged as "not
// found" while the write of its row was on its way.
TEST_F(CallerRequestHandlerTest, ACancelHoldsForAJobThatIsStoredAfterIt) {
  const std::uint64_t cancel =
      Request(CallerRequestKind::kCancel, "/q/" + job_);
  ASSERT_EQ(table_.reads.size(), 1U);
  table_.reads.front().second(ReadResponse{.ok = true});
  EXPECT_FALSE(responses_.contains(cancel));
  ASSERT_EQ(table_.commits.size(), 1U);
  EXPECT_EQ(table_.commits.front().first.writes[0].key, "cancel/" + job_);
  CompleteCommit(CommitStatus::kCommitted);
  EXPECT_EQ(ResponseKind(cancel), CallerResponseKind::kJobNotFound);
  Request(CallerRequestKind::kSubmit, "/q/" + job_);
  CompleteCommit(CommitStatus::kCommitted);
  const std::uint64_t state = Request(CallerRequestKind::kState, "/q/" + job_);
  EXPECT_EQ(responses_[state].state, JobPhase::kCancelled);
}

struct PathCase {
  const char* name;
  CallerRequestKind kind;
  const char* host;
  const char* path;
  CallerResponseKind response;
};

class CallerPathTest : public CallerRequestHandlerTest,
                       public testing::WithParamInterface<PathCase> {};

TEST_P(CallerPathTest, GetsAnImmediateResponse) {
  const PathCase& c = GetParam();
  EXPECT_EQ(ResponseKind(Request(c.kind, c.path, c.host)), c.response);
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

TEST(JobStatusIndexTest, OlderRowDoesNotTakeBackACommittedState) {
  JobStatusIndex index;
  const JobId job("a");
  JobProgress progress;
  index.OnChange({job, "", false, JobPhase::kCompleted});
  EXPECT_EQ(index.StatusOf(job).state, JobPhase::kCompleted);
  EXPECT_FALSE(index.PhaseOf(job));  // its job row is not known yet
  progress.state = JobPhase::kRunning;
  EXPECT_FALSE(
      index.OnRow({ProgressRowKey(job), EncodeJobProgress(progress), 2, ""}));
  JobRecord record;
  record.spec.steps.resize(1);
  index.OnRow({JobRecordKey(job), EncodeJobRecord(record), 1, ""});
  EXPECT_EQ(index.PhaseOf(job), JobPhase::kCompleted);
}

TEST(JobStatusIndexTest, ReportsAChangedStateOnce) {
  JobStatusIndex index;
  JobProgress progress;
  progress.state = JobPhase::kRunning;
  TableRow row{ProgressRowKey(JobId("a")), EncodeJobProgress(progress), 2, ""};
  EXPECT_EQ(index.OnRow(row), JobId("a"));
  EXPECT_EQ(index.StatusOf(JobId("a")).state, JobPhase::kRunning);
  EXPECT_FALSE(index.OnRow(row));
  index.OnChange({JobId("a"), "", false, JobPhase::kQueued});
  EXPECT_EQ(index.StatusOf(JobId("a")).state, JobPhase::kRunning);
}

// What one host has read of a job is all that another needs to answer callers.
TEST(JobStatusIndexTest, AnotherHostKnowsAJobFromItsStatus) {
  JobStatusIndex index;
  JobRecord record;
  record.queue.name = "q";
  record.spec.steps.resize(1);
  index.OnRow({JobRecordKey(JobId("a")), EncodeJobRecord(record), 1, ""});
  index.OnRow({JobRecordKey(JobId("b")), EncodeJobRecord(record), 2, ""});
  index.OnRow({CancelRowKey(JobId("b")), "{}", 3, ""});
  JobStatusIndex other;
  for (const char* job : {"a", "b"}) other.OnChange(index.StatusOf(JobId(job)));
  EXPECT_EQ(other.PhaseOf(JobId("a")), JobPhase::kQueued);
  EXPECT_EQ(other.PhaseOf(JobId("b")), JobPhase::kCancelled);
  EXPECT_EQ(other.CountWaiting("q"), 1U);
  other.OnChange(index.StatusOf(JobId("unknown")));
  EXPECT_FALSE(other.PhaseOf(JobId("unknown")));
}

// The tasks in the row are not valid; only the state may be read.
TEST(JobStatusIndexTest, ReadsTheStateWithoutTheTasks) {
  JobStatusIndex index;
  const std::string key = ProgressRowKey(JobId("a"));
  index.OnRow({key, R"({"state":"running","occurrences":[{)", 1, ""});
  EXPECT_EQ(index.StatusOf(JobId("a")).state, JobPhase::kRunning);
  const std::string other_order =
      R"({"occurrences":[{"state":"failed"}],"state":"completed"})";
  index.OnRow({key, other_order, 2, ""});
  EXPECT_EQ(index.StatusOf(JobId("a")).state, JobPhase::kCompleted);
}

TEST(JobStatusIndexTest, IgnoresAProgressRowWithoutAState) {
  JobStatusIndex index;
  const std::string key = ProgressRowKey(JobId("a"));
  for (const char* value :
       {"", "not json", "[]", R"({"state":5})", R"({"state":"other"})",
        R"({"state":["running"]})", R"({"steps":{"state":"running"}})"}) {
    EXPECT_FALSE(index.OnRow({key, value, 1, ""})) << value;
  }
}

TEST(DesiredStateCacheTest, IgnoresOlderVersions) {
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
