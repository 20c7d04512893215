// Lines about ends that show that a task was started again.

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>

#include "base/log.h"
#include "dispatch/single_worker_harness.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTasks = 30;

std::size_t CountOf(const std::string& part, const std::string& text) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++count;
  return count;
}

class RepeatedEndLogTest : public testing::Test {
 protected:
  // All tasks of a job are running.
  void SetUp() override {
    StepSpec step;
    step.task_count = kTasks;
    step.size = {1, 1, 0};
    step.estimate = seconds(60);
    harness_.RegisterWorker();
    harness_.AddJob(step, false);
    harness_.Pass(seconds(1));
    ASSERT_EQ(harness_.running(), kTasks);
    InitLogging(LogLevel::kWarning);
  }
  void AddEnd(std::size_t task, std::uint64_t number) {
    TaskRunKey run = SingleWorkerHarness::FirstRun("j", task);
    run.number = number;
    harness_.AddEnd(run);
  }
  std::string LogOf(Duration time) {
    testing::internal::CaptureStdout();
    harness_.Pass(time);
    return testing::internal::GetCapturedStdout();
  }

  SingleWorkerHarness harness_;
};

// This dispatcher gives numbers above 1000.
TEST_F(RepeatedEndLogTest, BothRunsAndTheirStarters) {
  AddEnd(0, 7);
  const std::string log = LogOf(milliseconds(100));
  EXPECT_EQ(
      CountOf("WARNING placer: a run ended as done whose task has another "
              "run job=j occurrence=0 step=0 task=0 run=7 worker=w "
              "started_by=earlier other_run=1001 other_worker=w "
              "other_started_by=this lines_left_out=0\n",
              log),
      1U)
      << log;
  AddEnd(0, 8);
  const std::string second = LogOf(milliseconds(100));
  EXPECT_EQ(
      CountOf("WARNING placer: a run ended as done whose task was done by "
              "another run job=j occurrence=0 step=0 task=0 run=8 "
              "worker=w started_by=earlier other_run=7 other_worker=w "
              "other_started_by=earlier lines_left_out=0\n",
              second),
      1U)
      << second;
}

TEST_F(RepeatedEndLogTest, AtMostTenLinesASecond) {
  for (std::size_t i = 0; i + 1 < kTasks; ++i) AddEnd(i, 7);
  const std::string log = LogOf(milliseconds(500));
  EXPECT_EQ(CountOf("a run ended as done", log), 10U) << log;
  EXPECT_EQ(harness_.state().repeated_ends.of_restarted_tasks(), kTasks - 1);
  harness_.Pass(seconds(1));
  AddEnd(kTasks - 1, 7);
  const std::string later = LogOf(milliseconds(100));
  EXPECT_EQ(CountOf(" lines_left_out=19\n", later), 1U) << later;
}

TEST_F(RepeatedEndLogTest, AnEndOfATaskThatTheJobDoesNotHave) {
  AddEnd(kTasks, 1);
  const std::string log = LogOf(milliseconds(100));
  EXPECT_EQ(CountOf("WARNING placer: the end of a run changes no task, its job "
                    "has no such task here task=j.0.0.30 run=1 how=0 "
                    "finished_occurrences=0\n",
                    log),
            1U)
      << log;
}

}  // namespace
}  // namespace chivewing
