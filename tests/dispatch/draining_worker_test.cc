// Runs on workers that have announced that they will leave.

#include <gtest/gtest.h>

#include "dispatch/cluster_model.h"
#include "dispatch/drain_policy.h"

namespace chivewing {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr TimePoint kNever = TimePoint::max();

enum class Kind { kPlain, kCheckpoints, kLongRunning };

struct StopTimeCase {
  std::string name;
  Kind kind = Kind::kPlain;
  milliseconds estimate{0};
  int percent = 0;
  milliseconds notice{0};
  TimePoint expected = kNever;
};

class DrainStopTimeTest : public testing::TestWithParam<StopTimeCase> {};

TEST_P(DrainStopTimeTest, StopsOnlyWhatTheWorkerWouldTakeWithIt) {
  const StopTimeCase& each = GetParam();
  StepSpec spec;
  spec.estimate = each.estimate;
  spec.checkpoints = each.kind == Kind::kCheckpoints;
  spec.long_running = each.kind == Kind::kLongRunning;
  chivewing::Run run;
  run.acknowledged = true;
  run.acknowledged_at = kNow - milliseconds(100);
  run.listed_at = kNow;
  run.percent = each.percent;
  EXPECT_EQ(DrainStopTime(kNow, kNow + each.notice, spec, run), each.expected);
}

INSTANTIATE_TEST_SUITE_P(
    Runs, DrainStopTimeTest,
    testing::Values(
        StopTimeCase{"EndsInTime", Kind::kPlain, milliseconds(3000), 50,
                     milliseconds(2000), kNever},
        StopTimeCase{"KeepsItsProgressAndEndsInTime", Kind::kCheckpoints,
                     milliseconds(3000), 50, milliseconds(2000), kNever},
        StopTimeCase{"KeepsItsProgress", Kind::kCheckpoints,
                     milliseconds(20000), 50, milliseconds(4000),
                     kNow + milliseconds(2500)},
        StopTimeCase{"Serves", Kind::kLongRunning, milliseconds(500), 100,
                     milliseconds(4000), kNow + milliseconds(2500)},
        StopTimeCase{"WouldLoseItsWork", Kind::kPlain, milliseconds(20000), 10,
                     milliseconds(4000), kNow},
        StopTimeCase{"MayEndInTime", Kind::kPlain, milliseconds(4000), 0,
                     milliseconds(3900), kNever}),
    [](const auto& param) { return param.param.name; });

class DrainingWorkerTest : public testing::Test {
 protected:
  void SetUp() override {
    model_.RunFor(milliseconds(100));
    step_.size = {1000, 1000, 0};
    step_.task_count = 4;
    step_.estimate = seconds(20);
  }

  // Gives notice for the worker with the first task of the job, and lets it
  // leave when the notice is over.
  void LeaveAfterNotice() {
    std::size_t leaving = 0;
    while (model_.worker(leaving).running.empty()) ++leaving;
    ModelWorker& worker = model_.worker(leaving);
    WorkerRegistration registration = worker.registration;
    registration.draining = true;
    registration.leaves_after = kNotice;
    model_.dispatcher().RegisterWorker(model_.now(), registration);
    model_.RunFor(kNotice);
    left_with_ = worker.running.size();
    worker.running.clear();
    worker.down_until = model_.now() + std::chrono::hours(1);
    model_.dispatcher().UnregisterWorker(registration.worker);
  }

  static ModelOptions Options() {
    ModelOptions options;
    options.workers = 4;
    options.jobs = 0;
    return options;
  }

  static constexpr milliseconds kNotice{4000};
  ClusterModel model_{Options()};
  StepSpec step_{};
  std::size_t left_with_ = 0;  // runs that the worker took with it
};

struct FlavourCase {
  std::string name;
  void (*apply)(StepSpec&);
};

class MovedRunTest : public DrainingWorkerTest,
                     public testing::WithParamInterface<FlavourCase> {};

// The runs were killed with their worker and started again only when its lease
// had expired, 6 s later.
TEST_P(MovedRunTest, RunsContinueElsewhereWhenTheirWorkerHasLeft) {
  GetParam().apply(step_);
  model_.AddJob(model_.MakeJob("j", {step_}));
  model_.RunFor(seconds(3));
  ASSERT_EQ(model_.CountRunning(JobId("j")), 4U);
  LeaveAfterNotice();
  EXPECT_EQ(left_with_, 0U);
  EXPECT_EQ(model_.CountRunning(JobId("j")), 4U);
  EXPECT_TRUE(model_.violations().empty());
}

INSTANTIATE_TEST_SUITE_P(Steps, MovedRunTest,
                         testing::Values(FlavourCase{"Checkpoints",
                                                     [](StepSpec& step) {
                                                       step.checkpoints = true;
                                                     }},
                                         FlavourCase{"LongRunning",
                                                     [](StepSpec& step) {
                                                       step.long_running = true;
                                                       step.max_unavailable = 1;
                                                     }},
                                         FlavourCase{"Plain", [](StepSpec&) {}},
                                         FlavourCase{"Gang",
                                                     [](StepSpec& step) {
                                                       step.gang = true;
                                                       step.checkpoints = true;
                                                     }}),
                         [](const auto& param) { return param.param.name; });

TEST_F(DrainingWorkerTest, RunsThatEndInTimeAreLeftAlone) {
  step_.estimate = seconds(5);
  step_.checkpoints = true;
  model_.AddJob(model_.MakeJob("j", {step_}));
  model_.RunFor(seconds(3));
  LeaveAfterNotice();
  EXPECT_EQ(model_.started(), 4U);
  EXPECT_EQ(model_.dispatcher().state().counts.runs_moved, 0U);
  model_.RunFor(seconds(2));
  EXPECT_EQ(model_.table().at(JobId("j")).state, JobPhase::kCompleted);
}

TEST_F(DrainingWorkerTest, ALastingGangIsNotStoppedOnWorkersThatStay) {
  step_.gang = true;
  step_.long_running = true;
  step_.max_unavailable = 1;
  model_.AddJob(model_.MakeJob("j", {step_}));
  model_.RunFor(seconds(1));
  LeaveAfterNotice();
  EXPECT_EQ(model_.dispatcher().state().counts.runs_moved, 0U);
}

TEST_F(DrainingWorkerTest, AWorkerThatStaysAfterAllKeepsItsRuns) {
  model_.AddJob(model_.MakeJob("j", {step_}));
  model_.RunFor(seconds(1));
  WorkerRegistration registration = model_.worker(0).registration;
  registration.draining = true;
  model_.dispatcher().RegisterWorker(model_.now(), registration);
  model_.RunFor(seconds(5));
  EXPECT_EQ(model_.dispatcher().state().counts.runs_moved, 0U)
      << "it has not said when it leaves";
}

}  // namespace
}  // namespace chivewing
