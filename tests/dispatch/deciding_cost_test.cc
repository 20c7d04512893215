// Counts what the dispatcher examines, to hold the cost of its decisions in
// proportion to what has changed rather than to the size of the cluster.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>

#include "dispatch/load_model.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// As many workers as one advice request may name.
constexpr std::uint64_t kWorkersPerDecision = 100;

// A poll is sent, answered, and its ends are written in one or two batches.
constexpr std::uint64_t kLooksPerPollAndEnd = 4;
// Workers asked about by one advice request, those passed over among them.
constexpr std::uint64_t kWorkersPerAdviceRequest = 40;
constexpr int kEndedJobs = 500;

LoadOptions Burst() {
  LoadOptions options;
  options.queues = DayQueues();
  options.burst = 2.2;
  options.length = milliseconds(10000);
  return options;
}

LoadOptions LargeSiteBurst() {
  LoadOptions options = Burst();
  options.workers = 540;
  options.advice_hosts = 97;
  return options;
}

// A waiting step was tried, and every worker looked at, after each end.
TEST(DecidingCostTest, StepsThatWaitForRoomAreNotAllTriedAfterEachEnd) {
  LoadModel model(Burst());
  model.Run();
  const DispatchCounters& counts = model.dispatcher().state().counts;
  ASSERT_GT(model.dispatcher().state().ready.size(), 20U);
  EXPECT_LT(counts.steps_tried, counts.starts + model.ends() + counts.asks);
  EXPECT_LT(counts.workers_examined,
            kWorkersPerDecision * (counts.starts + counts.asks));
}

// All workers were looked at in each turn of the loop: for a due poll, for the
// next one, and for ends to write.
TEST(DecidingCostTest, ATurnCostsNothingForWorkersThatNeedNoAttention) {
  LoadModel model(LargeSiteBurst());
  model.Run();
  const DispatchCounters& counts = model.dispatcher().state().counts;
  ASSERT_GT(model.turns(), 5000U);
  EXPECT_LT(counts.workers_attended,
            kLooksPerPollAndEnd * (counts.polls + model.ends()));
}

// A request for advice looked at each worker with room, and steps that asked at
// the same time asked about the same workers, found them full and asked again.
TEST(DecidingCostTest, AdviceIsAskedAboutTheWorkersThatAreNeeded) {
  LoadModel model(LargeSiteBurst());
  model.Run();
  const DispatchCounters& counts = model.dispatcher().state().counts;
  EXPECT_LT(counts.asks, counts.starts / 3);
  EXPECT_LT(counts.workers_examined,
            kWorkersPerAdviceRequest * counts.asks + 10 * counts.starts);
}

// The loss of a worker looked at each job that there had ever been, to forget
// what advice had said of the worker.
TEST(DecidingCostTest, TheLossOfAWorkerLooksAtNoJobThatHasEnded) {
  const TimePoint now{std::chrono::seconds(10)};
  Dispatcher dispatcher({}, 1);
  WorkerRegistration worker;
  worker.worker = WorkerId("w");
  dispatcher.RegisterWorker(now, worker);
  const auto add_job = [&](const std::string& id) {
    JobRecord record;
    record.id = JobId(id);
    record.spec.steps.resize(1);
    record.spec.steps[0].task_count = 1;
    record.spec.steps[0].size = {1000, 1000, 0};
    dispatcher.AddJob(now, now, record, std::nullopt, false);
  };
  add_job("open");
  for (int i = 0; i < kEndedJobs; ++i) {
    const std::string id = "ended-" + std::to_string(i);
    add_job(id);
    dispatcher.CancelJob(JobId(id));
  }
  // The worker is there at first.
  for (const CommandOutcome outcome :
       {CommandOutcome::kDone, CommandOutcome::kWrongIncarnation}) {
    EXPECT_EQ(dispatcher.state().counts.jobs_examined, 0U);
    DispatchEffects effects;
    dispatcher.Decide(now, milliseconds(0), effects);
    ASSERT_EQ(effects.size(), 1U);
    const auto& poll = std::get<PollWorker>(effects.front());
    PollResponse response;
    response.outcome = outcome;
    response.clock = WorkerTimestamp(1000);
    dispatcher.OnPollResponse(now, poll.worker, poll.poll_id, response);
  }
  EXPECT_EQ(dispatcher.state().counts.jobs_examined, 1U);
}

}  // namespace
}  // namespace chivewing
