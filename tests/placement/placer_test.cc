#include "placement/placer.h"

#include <gtest/gtest.h>

#include "placement/placer_harness.h"

namespace chivewing {
namespace {

constexpr Resources kSmallWorker{16000, 32768, 0};

struct RefusalCase {
  const char* name;
  JobClass job_class;
  int tasks;
  Resources per_task;
  // Expected part of the message; empty when the job is accepted.
  const char* detail;
};

class RefusalTest : public testing::TestWithParam<RefusalCase> {};

TEST_P(RefusalTest, NamesTheDimensionThatFails) {
  const RefusalCase& given = GetParam();
  PlacerHarness zone;
  zone.AddWorkers(2, kSmallWorker);
  zone.AddWorkers(1, {8000, 65536, 2}, "a");
  zone.Submit(zone.MakeJob("j", given.job_class, given.tasks, given.per_task));
  const auto refused = zone.EffectsOf<JobRefused>();
  if (std::string(given.detail).empty()) {
    EXPECT_TRUE(refused.empty());
    return;
  }
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].code, ResultCode::kNeverFits);
  EXPECT_NE(refused[0].detail.find(given.detail), std::string::npos)
      << refused[0].detail;
  EXPECT_TRUE(zone.DecideAndCommit().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, RefusalTest,
    testing::Values(
        RefusalCase{"fits", JobClass::kBatch, 3, {16000, 32768, 0}, ""},
        RefusalCase{"processors",
                    JobClass::kBatch,
                    1,
                    {16001, 1, 0},
                    "enough processors_milli"},
        RefusalCase{
            "memory", JobClass::kBatch, 1, {1, 65537, 0}, "enough memory_mb"},
        RefusalCase{"accelerators",
                    JobClass::kService,
                    1,
                    {1, 1, 3},
                    "enough accelerators"},
        RefusalCase{"no_worker_has_all",
                    JobClass::kBatch,
                    1,
                    {16000, 65536, 0},
                    "all dimensions at once"},
        RefusalCase{"gang_fits", JobClass::kGang, 5, {8000, 16384, 0}, ""},
        RefusalCase{"gang_too_large",
                    JobClass::kGang,
                    6,
                    {8000, 16384, 0},
                    "5 of the 6 tasks"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(PlacerTest, FreesResourcesOnlyAfterTheEndIsConfirmed) {
  PlacerHarness zone;
  zone.AddWorkers(1, kSmallWorker);
  zone.Submit(zone.MakeJob("a", JobClass::kBatch, 1, kSmallWorker));
  zone.Submit(zone.MakeJob("b", JobClass::kBatch, 1, kSmallWorker));
  const auto first = zone.LaunchAndStart();
  ASSERT_EQ(first.size(), 1U);
  zone.placer.OnTaskUnreachable(zone.now, first[0].task, zone.effects);
  EXPECT_TRUE(zone.LaunchAndStart().empty());
  zone.placer.TaskLeaseExpired(zone.now, first[0].task, zone.effects);
  EXPECT_EQ(zone.LaunchAndStart().size(), 1U);
  zone.placer.CheckInvariants();
}

TEST(PlacerTest, CommitFailedFreesTheResources) {
  PlacerHarness zone;
  zone.AddWorkers(1, kSmallWorker);
  zone.Submit(zone.MakeJob("a", JobClass::kBatch, 1, kSmallWorker));
  const auto batch = zone.placer.Decide(zone.now, 10, zone.effects);
  ASSERT_TRUE(batch.has_value());
  EXPECT_FALSE(zone.placer.Decide(zone.now, 10, zone.effects).has_value());
  zone.placer.CommitFailed(zone.now, *batch, zone.effects);
  EXPECT_EQ(zone.LaunchAndStart().size(), 1U);
}

TEST(PlacerTest, CancelledWhileCommittingIsNeverLaunched) {
  PlacerHarness zone;
  zone.AddWorkers(1, kSmallWorker);
  zone.Submit(zone.MakeJob("a", JobClass::kBatch, 1, kSmallWorker));
  const auto batch = zone.placer.Decide(zone.now, 10, zone.effects);
  const std::vector<JobId> wave = {JobId("a")};
  zone.placer.CancelJobs(zone.now, wave, zone.effects);
  zone.placer.CommitSucceeded(zone.now, *batch, zone.effects);
  EXPECT_TRUE(zone.EffectsOf<LaunchTask>().empty());
  EXPECT_EQ(zone.EffectsOf<DeleteTaskRow>().size(), 1U);
  ASSERT_EQ(zone.EffectsOf<JobFinished>().size(), 1U);
  EXPECT_TRUE(zone.EffectsOf<JobFinished>()[0].cancelled);
}

}  // namespace
}  // namespace chivewing
