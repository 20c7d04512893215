// Rows that the table refuses for good, beside others.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "dispatch/dispatcher.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kRowsPerBatch = 60;
constexpr std::size_t kJobs = 40;
constexpr std::size_t kWorkers = 8;
constexpr milliseconds kTurn{20};

// A dispatcher, workers that end each task after a second, and a table that
// refuses each transaction with a row of a job or worker of `refused_`.
class RefusedRowTest : public testing::Test {
 protected:
  struct Worker {
    std::map<TaskRunKey, TimePoint> running{};  // until when
    std::vector<EndedRunReport> ended{};
    std::uint64_t last_end = 0;
    std::uint64_t told_end = 0;
  };

  static std::string JobName(std::size_t i) { return "j" + std::to_string(i); }
  static std::string WorkerName(std::size_t i) {
    return "w" + std::to_string(i);
  }

  void SetUp() override {
    for (std::size_t i = 0; i < kWorkers; ++i) {
      WorkerRegistration registration;
      registration.worker = WorkerId(WorkerName(i));
      registration.capacity = {16'000, 16'000, 0};
      dispatcher_.RegisterWorker(now_, registration);
    }
  }
  void AddJobs() {
    for (std::size_t i = 0; i < kJobs; ++i) {
      JobRecord record;
      record.id = JobId(JobName(i));
      record.queue.max_attempts = 3;
      StepSpec step;
      step.task_count = 2;
      step.size = {1000, 1000, 0};
      step.estimate = seconds(1);
      StepSpec next = step;
      next.after = {0};
      record.spec.steps = {step, next};
      dispatcher_.AddJob(now_, now_, record, std::nullopt, false);
    }
  }

  void Pass(Duration time) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += kTurn) {
      for (auto& [id, worker] : workers_) EndRuns(worker);
      DispatchEffects effects;
      dispatcher_.Decide(now_, milliseconds(0), effects);
      for (const DispatchEffect& effect : effects) CarryOut(effect);
      if (dispatcher_.HasDirty()) WriteBatch();
    }
  }

  std::size_t CountCompleted() const {
    const auto& jobs = dispatcher_.state().jobs;
    return static_cast<std::size_t>(
        std::count_if(jobs.begin(), jobs.end(), [this](const auto& entry) {
          return entry.second.state == JobPhase::kCompleted &&
                 written_.contains(entry.first.value());
        }));
  }
  std::size_t CountToldEnds() const {
    std::size_t out = 0;
    for (const auto& [id, worker] : workers_) out += worker.told_end;
    return out;
  }
  std::size_t CountEnds() const {
    std::size_t out = 0;
    for (const auto& [id, worker] : workers_) out += worker.last_end;
    return out;
  }
  std::size_t StartsOf(const std::string& job) const {
    const auto found = starts_.find(job);
    return found == starts_.end() ? 0 : found->second;
  }

  TimePoint now_{seconds(100)};
  Dispatcher dispatcher_{{}, 1};
  std::set<std::string> refused_;  // jobs and workers
  std::size_t refusals_ = 0;
  std::map<WorkerId, Worker> workers_;
  std::map<std::string, std::size_t> starts_;  // by job
  std::map<WorkerId, std::size_t> starts_on_;

 private:
  void WriteBatch() {
    const ProgressWriteBatch batch = dispatcher_.TakeBatch(kRowsPerBatch);
    bool refused = false;
    for (const auto& [id, progress] : batch.jobs)
      refused |= refused_.contains(id.value());
    for (const WorkerRegistration& each : batch.enrolled)
      refused |= refused_.contains(each.worker.value());
    if (refused) {
      ++refusals_;
      dispatcher_.OnRefused(now_, batch);
      return;
    }
    for (const auto& [id, progress] : batch.jobs) written_.insert(id.value());
    dispatcher_.OnSaved(now_, batch);
  }

  void EndRuns(Worker& worker) {
    std::erase_if(worker.running, [&](const auto& run) {
      if (run.second > now_) return false;
      worker.ended.push_back(
          {++worker.last_end, run.first, RunEndReason::kDone, ""});
      return true;
    });
  }

  template <typename Response>
  Response Done() const {
    Response response;
    response.outcome = CommandOutcome::kDone;
    response.clock =
        std::chrono::duration_cast<WorkerTimestamp>(now_.time_since_epoch());
    return response;
  }

  void CarryOut(const DispatchEffect& effect) {
    if (const auto* start = std::get_if<StartRun>(&effect)) {
      ++starts_[start->run.task.job.value()];
      ++starts_on_[start->worker];
      workers_[start->worker].running[start->run] = now_ + seconds(1);
      dispatcher_.OnStartResponse(now_, start->run_id, Done<CommandResponse>());
    } else if (const auto* poll = std::get_if<PollWorker>(&effect)) {
      Worker& worker = workers_[poll->worker];
      worker.told_end = std::max(worker.told_end, poll->persisted_end);
      auto response = Done<PollResponse>();
      response.incarnation_start = milliseconds(1);
      for (const auto& [run, until] : worker.running)
        response.running.push_back({run, "", 0, 0});
      for (const EndedRunReport& end : worker.ended) {
        if (end.number > worker.told_end) response.ended.push_back(end);
      }
      dispatcher_.OnPollResponse(now_, poll->worker, poll->poll_id, response);
    }
  }

  std::set<std::string> written_;
};

// One worker's row kept all rows from being stored, so that no worker got a
// task (review case 7, LOST).
TEST_F(RefusedRowTest, ARowOfAWorkerHoldsUpNoOthers) {
  refused_ = {WorkerName(3)};
  AddJobs();
  Pass(seconds(15));
  EXPECT_EQ(CountCompleted(), kJobs);
  EXPECT_EQ(CountToldEnds(), 4 * kJobs);
  EXPECT_FALSE(starts_on_.contains(WorkerId(WorkerName(3))));
}

// The same for an entry that comes when all workers have their rows: their
// tasks ended, and no end was taken note of.
TEST_F(RefusedRowTest, ARowThatComesLateHoldsUpNoOthers) {
  refused_ = {"late"};
  AddJobs();
  Pass(seconds(1));
  WorkerRegistration late;
  late.worker = WorkerId("late");
  dispatcher_.RegisterWorker(now_, late);
  Pass(seconds(15));
  EXPECT_EQ(CountCompleted(), kJobs);
  EXPECT_EQ(CountToldEnds(), 4 * kJobs);
}

// A job whose progress the table refuses: all others go on, and it starts
// nothing of which no end could be taken note of.
TEST_F(RefusedRowTest, ProgressOfOneJobHoldsUpNoOthers) {
  refused_ = {JobName(7)};
  AddJobs();
  Pass(seconds(15));
  EXPECT_EQ(CountCompleted(), kJobs - 1);
  EXPECT_EQ(StartsOf(JobName(7)), 2U);
  EXPECT_EQ(dispatcher_.state().refused_rows.size(), 1U);
  // Its ends are not told as read, nor those behind them at two workers.
  EXPECT_LT(CountToldEnds(), CountEnds());
}

// Once the table takes the row, the job goes on.
TEST_F(RefusedRowTest, ARowThatIsTakenLaterIsMadeUpFor) {
  refused_ = {JobName(7), WorkerName(3)};
  AddJobs();
  Pass(seconds(4));
  refused_.clear();
  Pass(seconds(16));
  EXPECT_EQ(CountCompleted(), kJobs);
  EXPECT_EQ(CountToldEnds(), 4 * kJobs);
  EXPECT_EQ(dispatcher_.state().refused_rows.size(), 0U);
  EXPECT_EQ(dispatcher_.state().workers_without_row.size(), 0U);
}

// A refused batch was sent again at once, for ever.
TEST_F(RefusedRowTest, ARefusedRowIsSentSeldom) {
  refused_ = {JobName(7)};
  AddJobs();
  Pass(seconds(4));
  const std::size_t until_found = refusals_;
  EXPECT_LE(until_found, 14U);
  Pass(seconds(60));
  EXPECT_LE(refusals_ - until_found, 13U);
  EXPECT_GE(refusals_ - until_found, 10U);
}

// Several rows at fault in one batch.
TEST_F(RefusedRowTest, EachRowAtFaultIsFound) {
  refused_ = {WorkerName(0), WorkerName(5), JobName(0), JobName(1),
              JobName(20)};
  AddJobs();
  Pass(seconds(15));
  EXPECT_EQ(CountCompleted(), kJobs - 3);
  EXPECT_EQ(dispatcher_.state().refused_rows.size(), 5U);
}

// Without the line nobody could tell why a job stands still.
TEST_F(RefusedRowTest, ARefusedRowIsLogged) {
  refused_ = {JobName(7)};
  AddJobs();
  testing::internal::CaptureStdout();
  Pass(seconds(4));
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_NE(log.find("the table refuses a row; it is set aside and all others "
                     "go on: progress of job=j7 rows_set_aside=1"),
            std::string::npos)
      << log;
}

}  // namespace
}  // namespace chivewing
