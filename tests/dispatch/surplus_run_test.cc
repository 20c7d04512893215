// Why listed runs of an earlier dispatcher are stopped, as counted.

#include "dispatch/surplus_run.h"

#include <gtest/gtest.h>

#include <chrono>

#include "dispatch/single_worker_harness.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SurplusRunTest : public testing::Test {
 protected:
  static StepSpec TwoTasks() {
    StepSpec step;
    step.task_count = 2;
    step.size = {1, 1, 0};
    step.estimate = seconds(60);
    return step;
  }
  // The first of two tasks is done, by the table.
  static JobProgress FirstTaskDone() {
    JobProgress progress;
    progress.state = JobPhase::kRunning;
    progress.occurrences[0].resize(1);
    progress.occurrences[0][0][0].done = true;
    return progress;
  }
  std::uint64_t count(SurplusReason reason) const {
    return harness_.state().surplus_runs.at(static_cast<std::size_t>(reason));
  }

  SingleWorkerHarness harness_;
};

TEST_F(SurplusRunTest, ARunOfATaskThatIsDone) {
  harness_.AdoptWorker();
  harness_.AddJob(TwoTasks(), true, FirstTaskDone());
  harness_.AddRun(SingleWorkerHarness::FirstRun("j", 0));
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(count(SurplusReason::kTaskDone), 1U);
  EXPECT_EQ(count(SurplusReason::kOtherRun), 0U);
}

TEST_F(SurplusRunTest, ARunOfATaskThatHasAnotherRun) {
  harness_.AdoptWorker();
  harness_.AddJob(TwoTasks(), false);
  harness_.Pass(milliseconds(100));
  ASSERT_EQ(harness_.starts(), 2U);
  TaskRunKey run = SingleWorkerHarness::FirstRun("j", 0);
  run.number = 77;
  harness_.AddRun(run);
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(count(SurplusReason::kOtherRun), 1U);
  EXPECT_EQ(count(SurplusReason::kTaskDone), 0U);
}

TEST_F(SurplusRunTest, ARunOfAJobThatHasEnded) {
  JobProgress progress;
  progress.state = JobPhase::kCompleted;
  harness_.AdoptWorker();
  harness_.AddJob(TwoTasks(), true, progress);
  harness_.AddRun(SingleWorkerHarness::FirstRun("j", 0));
  harness_.Pass(milliseconds(100));
  EXPECT_EQ(count(SurplusReason::kJobEnded), 1U);
}

TEST_F(SurplusRunTest, ARunThatIsNeededCountsAsNone) {
  harness_.AdoptWorker();
  harness_.AddJob(TwoTasks(), true);
  harness_.AddRun(SingleWorkerHarness::FirstRun("j", 0));
  harness_.Pass(milliseconds(100));
  for (const std::uint64_t each : harness_.state().surplus_runs)
    EXPECT_EQ(each, 0U);
}

}  // namespace
}  // namespace chivewing
