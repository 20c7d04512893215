// What a dispatcher does whose lease is over, while another may have begun.

#include <gtest/gtest.h>

#include "dispatch/single_worker_harness.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTasks = 4;
constexpr std::int64_t kTaskMilli = 1000;

class LapsedLeaseTest : public testing::Test {
 protected:
  void SetUp() override {
    WorkerRegistration worker = SingleWorkerHarness::Registration("w");
    worker.capacity.processors_milli = 2 * kTaskMilli;
    harness_.Register(worker);
    StepSpec step;
    step.task_count = kTasks;
    step.size = {kTaskMilli, 1, 0};
    step.estimate = seconds(60);
    harness_.AddJob(step, false);
    harness_.Pass(seconds(1));
    ASSERT_EQ(harness_.starts(), 2U);
  }
  void RestartWorker() {
    harness_.RestartWorker();
    WorkerRegistration worker = SingleWorkerHarness::Registration("w");
    worker.capacity.processors_milli = 2 * kTaskMilli;
    worker.incarnation_start = harness_.incarnation_start();
    harness_.Register(worker);
  }

  SingleWorkerHarness harness_;
};

// Workers that it has met refuse its commands once a successor has met them.
TEST_F(LapsedLeaseTest, GoesOnWithTheIncarnationsThatItHasMet) {
  harness_.EndLease();
  harness_.EndAllRuns();
  harness_.Pass(seconds(1));
  EXPECT_EQ(harness_.starts(), kTasks);
}

// An incarnation that no successor has met took starts of tasks that the
// successor knew to be done (TWICE).
TEST_F(LapsedLeaseTest, StartsNothingOnAnIncarnationThatItHasNotMet) {
  harness_.EndLease();
  RestartWorker();
  harness_.Pass(seconds(4));
  EXPECT_EQ(harness_.starts(), 2U);
  EXPECT_EQ(harness_.state().counts.runs_lost, 0U);
  EXPECT_GT(harness_.state().counts.unmet_incarnations, 0U);
  harness_.RegainLease();
  harness_.Pass(seconds(2));
  EXPECT_EQ(harness_.starts(), kTasks);
  EXPECT_EQ(harness_.state().counts.runs_lost, 2U);
}

// The clock of a worker tells a restart, too.
TEST_F(LapsedLeaseTest, GivesUpNoRunsForAClockThatWasSetBack) {
  harness_.EndLease();
  harness_.SetClockBack(seconds(60));
  harness_.Pass(seconds(1));
  EXPECT_EQ(harness_.starts(), 2U);
  EXPECT_EQ(harness_.stops(), 0U);
}

TEST_F(LapsedLeaseTest, GivesUpNoRunsForAnotherIdAtTheAddress) {
  harness_.EndLease();
  harness_.set_poll_outcome(CommandOutcome::kWrongIncarnation);
  harness_.Pass(seconds(1));
  EXPECT_EQ(harness_.state().counts.runs_lost, 0U);
  harness_.RegainLease();
  harness_.Pass(seconds(1));
  EXPECT_EQ(harness_.state().counts.runs_lost, 2U);
}

}  // namespace
}  // namespace chivewing
