// What is counted of ends that show that a task was started again.

#include <gtest/gtest.h>

#include <chrono>

#include "dispatch/single_worker_harness.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StepSpec OneTask() {
  StepSpec step;
  step.task_count = 1;
  step.size = {1, 1, 0};
  step.estimate = seconds(60);
  return step;
}

TaskRunKey RunOfTask(std::uint64_t number) {
  TaskRunKey run = SingleWorkerHarness::FirstRun("j", 0);
  run.number = number;
  return run;
}

class RepeatedEndTest : public testing::Test {
 protected:
  const RepeatedEndMonitor& ends() const {
    return harness_.state().repeated_ends;
  }

  SingleWorkerHarness harness_;
};

TEST_F(RepeatedEndTest, ATaskWhoseFirstEndCameAfterItsSecondStart) {
  harness_.RegisterWorker();
  harness_.AddJob(OneTask(), false);
  harness_.Pass(seconds(1));
  ASSERT_EQ(harness_.running(), 1U);
  harness_.AddEnd(RunOfTask(7));
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(ends().of_restarted_tasks(), 1U);
  EXPECT_EQ(ends().of_done_tasks(), 0U);
  harness_.EndAllRuns();
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(ends().of_restarted_tasks(), 1U);
  EXPECT_EQ(ends().of_done_tasks(), 1U);
}

// The table tells that the task is done: its first listed end is the one.
TEST_F(RepeatedEndTest, AfterATakeOverTheSecondEndCounts) {
  JobProgress progress;
  progress.state = JobPhase::kRunning;
  progress.occurrences[0].resize(1);
  progress.occurrences[0][0][0].done = true;
  StepSpec step = OneTask();
  step.task_count = 2;
  harness_.AdoptWorker();
  harness_.AddJob(step, true, progress);
  harness_.AddEnd(RunOfTask(1));
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(ends().of_done_tasks(), 0U);
  harness_.AddEnd(RunOfTask(1001));
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(ends().of_done_tasks(), 1U);
  EXPECT_EQ(ends().of_restarted_tasks(), 0U);
}

// The next incarnation ran the same order, which had come late.
TEST_F(RepeatedEndTest, TheSameRunOnTheNextIncarnationCounts) {
  harness_.RegisterWorker();
  harness_.AddJob(OneTask(), false);
  harness_.Pass(seconds(1));
  const TaskRunKey run = harness_.LastRun();
  harness_.EndAllRuns();
  harness_.Pass(seconds(1));
  harness_.RestartWorker();
  harness_.Pass(seconds(1));
  EXPECT_EQ(ends().of_done_tasks(), 0U);
  harness_.AddEnd(run);
  harness_.Pass(seconds(1));
  EXPECT_EQ(ends().of_done_tasks(), 1U);
}

TEST_F(RepeatedEndTest, EndsThatAreListedAgainDoNotCount) {
  StepSpec step = OneTask();
  step.task_count = 2;
  harness_.RegisterWorker();
  harness_.AddJob(step, false);
  harness_.Pass(milliseconds(100));
  ASSERT_EQ(harness_.running(), 2U);
  harness_.AddEnd(SingleWorkerHarness::FirstRun("unknown", 0));
  harness_.EndAllRuns();
  harness_.Pass(seconds(5));
  EXPECT_EQ(harness_.job_state(), JobPhase::kCompleted);
  EXPECT_EQ(ends().of_done_tasks(), 0U);
  EXPECT_EQ(ends().of_restarted_tasks(), 0U);
}

// Such an end is taken note of without any effect.
TEST_F(RepeatedEndTest, AnEndOfATaskThatTheJobDoesNotHave) {
  harness_.RegisterWorker();
  harness_.AddJob(OneTask(), false);
  harness_.AddEnd(SingleWorkerHarness::FirstRun("j", 5));
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(harness_.state().counts.ends_of_unknown_tasks, 1U);
  EXPECT_EQ(harness_.state().counts.ends_after_their_job, 0U);
}

TEST_F(RepeatedEndTest, AnEndOfAJobThatIsOver) {
  JobProgress progress;
  progress.state = JobPhase::kCompleted;
  harness_.AdoptWorker();
  harness_.AddJob(OneTask(), true, progress);
  harness_.AddEnd(RunOfTask(1));
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(harness_.state().counts.ends_of_unknown_tasks, 0U);
  EXPECT_EQ(harness_.state().counts.ends_after_their_job, 1U);
}

TEST_F(RepeatedEndTest, CopiesThatTheStepAllowsDoNotCount) {
  StepSpec step = OneTask();
  step.copies_allowed = true;
  harness_.RegisterWorker();
  harness_.AddJob(step, false);
  harness_.Pass(milliseconds(100));
  harness_.AddEnd(RunOfTask(7));
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(ends().of_restarted_tasks(), 0U);
}

}  // namespace
}  // namespace chivewing
