// Counts what the dispatcher examines, to hold the cost of its decisions in
// proportion to what has changed rather than to the size of the cluster.

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace chivewing
