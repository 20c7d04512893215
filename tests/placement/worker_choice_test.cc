#include "placement/worker_choice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace chivewing {
namespace {

Resources RandomAmount(int most_processors, int most_memory,
                       int most_accelerators) {
  return {*rc::gen::inRange(0, most_processors),
          *rc::gen::inRange(0, most_memory),
          *rc::gen::inRange(0, most_accelerators)};
}

WorkerSpec MakeWorker(int number, const Resources& capacity) {
  WorkerSpec worker;
  worker.id = WorkerId("w" + std::to_string(number));
  worker.rack = "r" + std::to_string(number / 4);
  worker.capacity = capacity;
  return worker;
}

// The index is only an optimisation: it must find a worker exactly when the
// scan does, and one on which the task fits.
RC_GTEST_PROP(WorkerChoiceProperty, IndexFindsAWorkerExactlyIfTheScanDoes, ()) {
  WorkerPool pool;
  const int workers = *rc::gen::inRange(1, 30);
  for (int number = 0; number < workers; ++number) {
    pool.Upsert(MakeWorker(number, RandomAmount(5000, 9000, 6)));
  }
  PlacerOptions options;
  for (TaskIndex task = 0; task < 40; ++task) {
    WorkerDemand demand;
    demand.resources = RandomAmount(3000, 5000, 3);
    options.min_workers_for_index = 1000;
    const WorkerIndex scanned = ChooseWorker(pool, demand, options);
    options.min_workers_for_index = 0;
    const WorkerIndex searched = ChooseWorker(pool, demand, options);
    RC_ASSERT((scanned == kNoIndex) == (searched == kNoIndex));
    if (searched != kNoIndex) pool.Reserve(searched, task, demand.resources);
  }
}

struct ChoiceCase {
  const char* name;
  Resources demand;
  std::size_t workers_to_index;
  const char* worker;
};

class ChoiceTest : public testing::TestWithParam<ChoiceCase> {};

TEST_P(ChoiceTest, ChoosesTheWorkerWithTheBestFit) {
  WorkerPool pool;
  const char* names[] = {"empty", "half", "accelerated"};
  const Resources capacities[] = {
      {16000, 32000, 0}, {16000, 32000, 0}, {16000, 32000, 4}};
  for (int number = 0; number < 3; ++number) {
    WorkerSpec spec = MakeWorker(number, capacities[number]);
    spec.id = WorkerId(names[number]);
    pool.Upsert(spec);
  }
  pool.Reserve(pool.Find(WorkerId("half")), 0, {8000, 16000, 0});
  WorkerDemand demand;
  demand.resources = GetParam().demand;
  PlacerOptions options;
  options.min_workers_for_index = GetParam().workers_to_index;
  const WorkerIndex chosen = ChooseWorker(pool, demand, options);
  ASSERT_NE(chosen, kNoIndex);
  EXPECT_EQ(pool.at(chosen).spec.id.value(), GetParam().worker);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ChoiceTest,
    testing::Values(
        ChoiceCase{"small_scan", {4000, 8000, 0}, 1000, "half"},
        ChoiceCase{"small_index", {4000, 8000, 0}, 0, "half"},
        ChoiceCase{"large_scan", {9000, 8000, 0}, 1000, "empty"},
        ChoiceCase{"large_index", {9000, 8000, 0}, 0, "empty"},
        ChoiceCase{"accelerators_scan", {1000, 1000, 1}, 1000, "accelerated"},
        ChoiceCase{"accelerators_index", {1000, 1000, 1}, 0, "accelerated"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chivewing
