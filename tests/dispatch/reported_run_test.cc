// Runs that another dispatcher has started and that workers report to a
// successor before it would have started them itself.

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTasks = 2;
constexpr milliseconds kFirstDue{1000};
constexpr milliseconds kInterval{10000};

// A dispatcher that has taken over one worker.
class ReportedRunTest : public testing::Test {
 protected:
  void SetUp() override {
    WorkerRegistration worker;
    worker.worker = WorkerId("w");
    worker.capacity = {16000, 32000, 0};
    dispatcher_.AdoptWorker(now_, now_, worker);
    dispatcher_.RegisterWorker(now_, worker);
  }

  static JobRecord Job(std::size_t repeats) {
    JobRecord record;
    record.id = JobId("j");
    record.queue.max_attempts = 3;
    record.spec.steps.resize(1);
    record.spec.steps[0].task_count = kTasks;
    record.spec.steps[0].size = {1000, 1000, 0};
    record.spec.steps[0].estimate = seconds(1);
    record.spec.repeats = repeats;
    record.spec.first_at = kFirstDue;
    record.spec.interval = kInterval;
    return record;
  }
  void AddJob(std::size_t repeats) {
    dispatcher_.AddJob(now_, now_, Job(repeats), std::nullopt, true);
  }

  static TaskRunKey Run(std::size_t occurrence, std::size_t task) {
    return {{JobId("j"), occurrence, 0, task}, 1};
  }

  // Passes time at the time of day `wall`; the worker answers each poll with
  // its lists. Notes starts and stops.
  void Pass(Duration time, milliseconds wall) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += milliseconds(20)) {
      DispatchEffects effects;
      dispatcher_.Decide(now_, wall, effects);
      for (const DispatchEffect& effect : effects) CarryOut(effect);
      dispatcher_.OnSaved(now_, dispatcher_.TakeBatch(60));
    }
  }
  void CarryOut(const DispatchEffect& effect) {
    if (const auto* start = std::get_if<StartRun>(&effect)) {
      started_.insert(start->run.task);
      dispatcher_.OnStartResponse(now_, start->run_id, Done<CommandResponse>());
      running_.push_back({start->run, "", 0, 0});
    } else if (const auto* stop = std::get_if<StopRun>(&effect)) {
      stopped_.insert(stop->run.task);
    } else if (const auto* poll = std::get_if<PollWorker>(&effect)) {
      PollResponse response = Done<PollResponse>();
      response.incarnation_start = milliseconds(1);
      response.running = running_;
      for (const EndedRunReport& end : ended_) {
        if (end.number > poll->persisted_end) response.ended.push_back(end);
      }
      highest_persisted_ = std::max(highest_persisted_, poll->persisted_end);
      dispatcher_.OnPollResponse(now_, poll->worker, poll->poll_id, response);
    }
  }
  template <typename Response>
  Response Done() const {
    Response response;
    response.outcome = CommandOutcome::kDone;
    response.clock =
        std::chrono::duration_cast<WorkerTimestamp>(now_.time_since_epoch());
    return response;
  }
  void ReportEnd(const TaskRunKey& run) {
    EndedRunReport end;
    end.number = ended_.size() + 1;
    end.run = run;
    end.how = RunEndReason::kDone;
    ended_.push_back(end);
  }
  TaskKey Task(std::size_t occurrence, std::size_t task) const {
    return Run(occurrence, task).task;
  }

  TimePoint now_{seconds(100)};
  Dispatcher dispatcher_{{}, 2};
  std::vector<ActiveRunReport> running_;
  std::vector<EndedRunReport> ended_;
  std::uint64_t highest_persisted_ = 0;
  std::set<TaskKey> started_;
  std::set<TaskKey> stopped_;
};

// The dispatcher before had a time of day that was ahead: its task ran a second
// time when the occurrence fell due here.
TEST_F(ReportedRunTest, AnEndOfAnOccurrenceThatIsNotDueHereCounts) {
  AddJob(5);
  ReportEnd(Run(1, 0));
  Pass(seconds(1), kFirstDue + kInterval - seconds(4));
  EXPECT_FALSE(started_.contains(Task(1, 0)));
  EXPECT_FALSE(started_.contains(Task(1, 1))) << "not due yet";
  EXPECT_TRUE(started_.contains(Task(0, 0)));
  Pass(seconds(1), kFirstDue + kInterval);
  EXPECT_FALSE(started_.contains(Task(1, 0))) << "has run";
  EXPECT_TRUE(started_.contains(Task(1, 1)));
}

// It was stopped, since no such task was known.
TEST_F(ReportedRunTest, ARunOfAnOccurrenceThatIsNotDueHereGoesOn) {
  AddJob(5);
  running_.push_back({Run(1, 0), "", 10, 0});
  Pass(seconds(1), kFirstDue + kInterval - seconds(4));
  EXPECT_TRUE(stopped_.empty());
  Pass(seconds(1), kFirstDue + kInterval);
  EXPECT_TRUE(stopped_.empty());
  EXPECT_FALSE(started_.contains(Task(1, 0)));
  EXPECT_TRUE(started_.contains(Task(1, 1)));
}

// The end was taken note of, and the task ran again once the row was read.
TEST_F(ReportedRunTest, AnEndOfAJobWhoseRowIsOnItsWayCounts) {
  ReportEnd(Run(0, 0));
  Pass(milliseconds(500), kFirstDue);
  EXPECT_EQ(highest_persisted_, 0U) << "the worker must not forget it";
  AddJob(0);
  Pass(seconds(2), kFirstDue);
  EXPECT_FALSE(started_.contains(Task(0, 0)));
  EXPECT_TRUE(started_.contains(Task(0, 1)));
  EXPECT_EQ(highest_persisted_, 1U);
}

TEST_F(ReportedRunTest, EndsOfAJobThatNeverComesAreDroppedInTheEnd) {
  ReportEnd(Run(0, 0));
  Pass(seconds(5), kFirstDue);
  EXPECT_EQ(highest_persisted_, 1U);
}

// An end behind one of an unknown job is not lost, and its run is not taken for
// one that has vanished.
TEST_F(ReportedRunTest, EndsBehindOneOfAnUnknownJobCount) {
  AddJob(0);
  Pass(milliseconds(100), kFirstDue);
  ASSERT_EQ(started_.size(), kTasks);
  const std::vector<ActiveRunReport> runs = running_;
  running_.clear();
  ReportEnd({{JobId("unknown"), 0, 0, 0}, 1});
  for (const ActiveRunReport& run : runs) ReportEnd(run.run);
  started_.clear();
  Pass(seconds(5), kFirstDue);
  EXPECT_TRUE(started_.empty());
  EXPECT_EQ(highest_persisted_, 1 + kTasks);
}

}  // namespace
}  // namespace chivewing
