// Each kind of start command that must not leave the host.

#include "dispatch/start_guard.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace chivewing {
namespace {

struct Fixture {
  TrackedJob job{};
  Run run{};
  StartRun command{};
};

Fixture ValidStart() {
  Fixture out;
  out.job.record.id = JobId("j");
  out.job.record.spec.payload = "payload";
  out.job.record.spec.steps.resize(1);
  out.job.OpenOccurrence(0);
  out.job.FindTask({JobId("j"), 0, 0, 0})->progress.saved = "half";
  out.run.key = {{JobId("j"), 0, 0, 0}, 1};
  out.run.send_count = 1;
  out.command.run = out.run.key;
  out.command.payload = "payload";
  out.command.saved = "half";
  return out;
}

struct FaultCase {
  const char* name;
  std::function<void(Fixture&)> change;
  StartFault fault;
};

class StartGuardTest : public testing::TestWithParam<FaultCase> {};

TEST_P(StartGuardTest, FindsTheFaultAndCountsIt) {
  Fixture start = ValidStart();
  GetParam().change(start);
  StartGuard guard;
  EXPECT_EQ(guard.Check(&start.job, start.run, start.command),
            GetParam().fault);
  EXPECT_EQ(guard.count(GetParam().fault), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, StartGuardTest,
    testing::Values(
        FaultCase{"None", [](Fixture&) {}, StartFault::kNone},
        FaultCase{"RetryWithItsFirstCheckpoint",
                  [](Fixture& f) {
                    f.run.send_count = 2;
                    f.command.saved = "quarter";
                  },
                  StartFault::kNone},
        FaultCase{"Cancelled", [](Fixture& f) { f.job.cancelled = true; },
                  StartFault::kJobCancelled},
        FaultCase{"Ended",
                  [](Fixture& f) { f.job.state = JobPhase::kCompleted; },
                  StartFault::kJobEnded},
        FaultCase{"TaskDone",
                  [](Fixture& f) {
                    f.job.FindTask(f.run.key.task)->progress.done = true;
                  },
                  StartFault::kTaskDone},
        FaultCase{"NoSuchTask",
                  [](Fixture& f) { f.command.run.task.index = 1; },
                  StartFault::kUnknownTask},
        FaultCase{"OccurrenceNotDue",
                  [](Fixture& f) { f.command.run.task.occurrence = 1; },
                  StartFault::kUnknownTask},
        FaultCase{"TaskOfAnotherJob",
                  [](Fixture& f) { f.command.run.task.job = JobId("k"); },
                  StartFault::kUnknownTask},
        FaultCase{"Payload", [](Fixture& f) { f.command.payload = "other"; },
                  StartFault::kOtherPayload},
        FaultCase{"Checkpoint", [](Fixture& f) { f.command.saved = "other"; },
                  StartFault::kForeignCheckpoint},
        FaultCase{"CheckpointLeftOut",
                  [](Fixture& f) { f.command.saved.clear(); },
                  StartFault::kForeignCheckpoint}),
    [](const auto& info) { return info.param.name; });

TEST(StartGuardWithoutJobTest, WithholdsAStartOfAnUnknownJob) {
  const Fixture start = ValidStart();
  StartGuard guard;
  EXPECT_EQ(guard.Check(nullptr, start.run, start.command),
            StartFault::kUnknownJob);
}

}  // namespace
}  // namespace chivewing
