#include "placement/worker_health_tracker.h"

#include <gtest/gtest.h>

#include <chrono>

namespace chivewing {
namespace {

constexpr std::size_t kLiveWorkers = 10;

class WorkerHealthTrackerTest : public testing::Test {
 protected:
  // Fails three different jobs on the worker.
  void Break(const std::string& worker) {
    for (int job = 0; job < 3; ++job) {
      const JobId id(worker + "-job" + std::to_string(job));
      health_.AddFailure(now_, WorkerId(worker), id, kLiveWorkers, effects_);
    }
  }
  bool IsOut(const std::string& worker) const {
    return health_.IsQuarantined(WorkerId(worker));
  }

  WorkerHealthTracker health_{HealthOptions()};
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  Effects effects_;
};

TEST_F(WorkerHealthTrackerTest, DifferentJobsThatFailBlameTheWorker) {
  Break("bad");
  EXPECT_TRUE(IsOut("bad"));
}

TEST_F(WorkerHealthTrackerTest, OneJobThatFailsOnSeveralWorkersBlamesTheJob) {
  const JobId job("j");
  for (int worker = 0; worker < 9; ++worker) {
    const WorkerId id("w" + std::to_string(worker));
    health_.AddFailure(now_, id, job, kLiveWorkers, effects_);
    EXPECT_FALSE(health_.IsQuarantined(id));
  }
  EXPECT_GT(health_.BackoffUntil(job), now_);
}

TEST_F(WorkerHealthTrackerTest, JobThatRunsWellElsewhereBlamesTheWorker) {
  const JobId job("j");
  for (int attempt = 0; attempt < 3; ++attempt) {
    health_.AddSuccess(WorkerId("good"), job);
    health_.AddFailure(now_, WorkerId("bad"), job, kLiveWorkers, effects_);
  }
  EXPECT_TRUE(IsOut("bad"));
  EXPECT_LE(health_.BackoffUntil(job), now_);
}

TEST_F(WorkerHealthTrackerTest, QuarantineTakesABoundedShare) {
  for (const char* worker : {"a", "b", "c", "d"}) Break(worker);
  EXPECT_EQ(health_.quarantined(), 2U);
}

TEST_F(WorkerHealthTrackerTest, OneBadProbeStartsTheCountAgain) {
  Break("bad");
  const WorkerId worker("bad");
  for (int probe = 0; probe < 4; ++probe) {
    health_.OnProbeCompleted(now_, worker, true, effects_);
  }
  health_.OnProbeCompleted(now_, worker, false, effects_);
  for (int probe = 0; probe < 4; ++probe) {
    health_.OnProbeCompleted(now_, worker, true, effects_);
  }
  EXPECT_TRUE(IsOut("bad"));
  health_.OnProbeCompleted(now_, worker, true, effects_);
  EXPECT_FALSE(IsOut("bad"));
}

}  // namespace
}  // namespace chivewing
