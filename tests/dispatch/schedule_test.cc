// Random schedules of faults: the platform's rules hold in all of them, and
// what can be finished is finished.

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "dispatch/cluster_model.h"

namespace chivewing {
namespace {

struct ScheduleCase {
  std::string name;
  ModelFaults faults;
  bool advice = false;
};

std::string NameOf(const testing::TestParamInfo<ScheduleCase>& info) {
  return info.param.name;
}

// The first seed and the number of seeds; ./soak sets others.
std::uint64_t Environment(const char* name, std::uint64_t usual) {
  const char* const text = std::getenv(name);
  return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

class ScheduleTest : public testing::TestWithParam<ScheduleCase> {};

TEST_P(ScheduleTest, KeepsTheRulesAndFinishes) {
  const std::uint64_t first = Environment("CHIVEWING_SCHEDULE_SEED", 1);
  const std::uint64_t seeds = Environment("CHIVEWING_SCHEDULES", 12);
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    ModelOptions options;
    options.seed = seed;
    options.faults = GetParam().faults;
    options.advice = GetParam().advice;
    ClusterModel model(options);
    model.Play();
    const auto front = [](const std::vector<std::string>& list) {
      return list.empty() ? std::string() : list.front();
    };
    EXPECT_TRUE(model.broken().empty())
        << "seed " << seed << ": " << front(model.broken());
    EXPECT_TRUE(model.Unfinished().empty())
        << "seed " << seed << ": " << front(model.Unfinished());
    EXPECT_GT(model.started(), 100U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ScheduleTest,
    testing::Values(ScheduleCase{"None", {}}, ScheduleCase{"Advice", {}, true},
                    ScheduleCase{"FailingRuns", {.failing_runs = 0.2}},
                    ScheduleCase{"LostAnswers", {.lost_answers = 0.2}},
                    ScheduleCase{"LateOrders", {.late_orders = 0.1}},
                    ScheduleCase{"CutWorkers", {.cut_every = seconds(2)}},
                    ScheduleCase{"CrashedWorkers", {.crash_every = seconds(2)}},
                    ScheduleCase{"Cancels", {.cancel_every = seconds(1)}},
                    ScheduleCase{"Replaced", {.replace_every = seconds(4)}},
                    ScheduleCase{
                        "ReplacedAndActing",
                        {.replace_every = seconds(4), .old_one_goes_on = true}},
                    ScheduleCase{"ReplacedActingCut",
                                 {.cut_every = seconds(2),
                                  .replace_every = seconds(5),
                                  .old_one_goes_on = true}},
                    ScheduleCase{"ReplacedActingSplit",
                                 {.replace_every = seconds(6),
                                  .old_one_goes_on = true,
                                  .split = true}},
                    ScheduleCase{"All",
                                 {.lost_answers = 0.05,
                                  .late_orders = 0.03,
                                  .cut_every = seconds(4),
                                  .crash_every = seconds(5),
                                  .replace_every = seconds(6),
                                  .old_one_goes_on = true,
                                  .failing_runs = 0.05,
                                  .cancel_every = seconds(3)},
                                 true}),
    NameOf);

}  // namespace
}  // namespace chivewing
