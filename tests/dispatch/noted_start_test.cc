// What a successor makes of starts that its predecessor has noted.

#include <gtest/gtest.h>

#include <functional>

#include "dispatch/cluster_model.h"

namespace chivewing {
namespace {

constexpr std::size_t kWorkers = 6;

class NotedStartTest : public testing::Test {
 protected:
  NotedStartTest() {
    StepSpec step;
    step.task_count = 1;
    step.size = {500, 500, 0};
    step.estimate = seconds(4);
    model_.AddJob(model_.MakeJob("job", {step}));
  }
  static ModelOptions Options() {
    ModelOptions options;
    options.workers = kWorkers;
    options.jobs = 0;
    options.faults.new_id_after_crash = true;
    return options;
  }
  bool RunUntil(const std::function<bool()>& holds) {
    const TimePoint end = model_.now() + seconds(10);
    while (model_.now() < end && !holds()) model_.RunFor(milliseconds(2));
    return holds();
  }
  bool IsRunning() { return model_.CountRunning(JobId("job")) == 1; }
  // The worker crashes a moment after it has started the task.
  void CrashUnderTask() {
    ASSERT_TRUE(RunUntil([this] { return IsRunning(); }));
    model_.RunFor(milliseconds(50));
    for (std::size_t i = 0; i < kWorkers; ++i) {
      if (!model_.worker(i).running.empty()) model_.CrashWorker(i, seconds(1));
    }
  }
  // The task's progress in the table.
  TaskProgress Written() {
    const auto job = model_.table().find(JobId("job"));
    if (job == model_.table().end() || job->second.occurrences.empty())
      return {};
    const StepProgress& step = job->second.occurrences.at(0).at(0);
    return step.contains(0) ? step.at(0) : TaskProgress{};
  }

  ClusterModel model_{Options()};
};

TEST_F(NotedStartTest, ACrashThatNoDispatcherHasSeenIsCounted) {
  CrashUnderTask();
  ASSERT_TRUE(RunUntil([this] { return Written().crashes == 1; }));
  CrashUnderTask();
  ASSERT_EQ(Written().crashes, 1U);
  model_.ReplaceDispatcher();
  EXPECT_TRUE(RunUntil([this] { return Written().crashes == 2; }));
}

TEST_F(NotedStartTest, ACrashBeforeAnyNoteMakesTheTaskASuspect) {
  CrashUnderTask();
  ASSERT_EQ(Written().crashes, 0U);
  model_.ReplaceDispatcher();
  EXPECT_TRUE(RunUntil([this] { return Written().crashes == 1; }));
  EXPECT_TRUE(Written().noted_start);
}

TEST_F(NotedStartTest, AnIsolatedStartThatWasNotMadeIsNotCounted) {
  CrashUnderTask();
  ASSERT_TRUE(RunUntil([this] { return Written().crashes == 1; }));
  CrashUnderTask();
  ASSERT_TRUE(RunUntil([this] { return Written().isolated_starts == 1; }));
  ASSERT_FALSE(IsRunning());
  model_.ReplaceDispatcher();
  ASSERT_TRUE(RunUntil([this] { return IsRunning(); }));
  EXPECT_EQ(Written().isolated_starts, 1U);
  EXPECT_TRUE(RunUntil([this] {
    return model_.table().at(JobId("job")).state == JobPhase::kCompleted;
  }));
}

}  // namespace
}  // namespace chivewing
