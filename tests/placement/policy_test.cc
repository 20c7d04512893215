#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <unordered_map>

#include "placement/placer_harness.h"

namespace chivewing {
namespace {

constexpr Resources kWorker{16000, 32768, 0};
constexpr Resources kHalf{8000, 16384, 0};

// Each mechanism is tested enabled and disabled. The disabled case shows that
// the test detects the fault that the mechanism prevents.
class MechanismTest : public testing::TestWithParam<bool> {};

// Submits a job during a steady stream of small tasks that take all resources
// as they become free. Returns whether the job starts within ten minutes of the
// start of the load.
bool JobStartsUnderLoad(JobClass job_class, int tasks, const Resources& size,
                        bool reservation) {
  PlacerOptions options;
  options.reservation = reservation;
  PlacerHarness zone(options);
  zone.AddWorkers(4, kWorker);
  std::multimap<TimePoint, TaskId> ends;
  const auto run_time = [](int number) {
    return seconds(10 + number * 7919 % 31);
  };
  int submitted = 0;
  int started = 0;
  for (int step = 0; step < 600; ++step) {
    zone.now += seconds(1);
    while (!ends.empty() && ends.begin()->first <= zone.now) {
      zone.EndTask(ends.begin()->second, TaskEnd::kDone);
      ends.erase(ends.begin());
    }
    if (step == 30) zone.Submit(zone.MakeJob("large", job_class, tasks, size));
    while (zone.placer.Summary().waiting_jobs < 20) {
      JobSpec small = zone.MakeJob("s" + std::to_string(submitted),
                                   JobClass::kBatch, 1, {4000, 4096, 0});
      small.entry = EntryName("small");
      small.run_time = run_time(submitted);
      ++submitted;
      zone.Submit(small);
    }
    for (const LaunchTask& launch : zone.LaunchAndStart()) {
      if (launch.job == JobId("large")) return true;
      ends.emplace(zone.now + run_time(started++), launch.task);
    }
    zone.placer.CheckInvariants();
  }
  return false;
}

TEST_P(MechanismTest, ReservationKeepsAGangFromStarving) {
  EXPECT_EQ(JobStartsUnderLoad(JobClass::kGang, 6, kHalf, GetParam()),
            GetParam());
}

TEST_P(MechanismTest, ReservationKeepsALargeTaskFromStarving) {
  EXPECT_EQ(JobStartsUnderLoad(JobClass::kBatch, 1, kWorker, GetParam()),
            GetParam());
}

TEST_P(MechanismTest, UrgentWorkPreemptsNewestOfLowestPriority) {
  PlacerOptions options;
  options.preemption = GetParam();
  PlacerHarness zone(options);
  zone.AddWorkers(1, kWorker);
  const std::vector<std::pair<std::string, int>> priorities = {
      {"a-high", 5}, {"b-older", 1}, {"c-newer", 1}, {"d-fixed", 0}};
  for (const auto& [name, priority] : priorities) {
    zone.now += seconds(1);
    JobSpec job = zone.MakeJob(name, JobClass::kBatch, 1, {4000, 8192, 0});
    job.priority = priority;
    job.checkpointable = name != "d-fixed";
    zone.Submit(job);
    ASSERT_EQ(zone.LaunchAndStart().size(), 1U);
  }
  JobSpec urgent = zone.MakeJob("urgent", JobClass::kBatch, 1, {4000, 1, 0});
  urgent.priority = 10;
  urgent.urgent = true;
  zone.Submit(urgent);
  EXPECT_TRUE(zone.LaunchAndStart().empty());
  const auto stops = zone.EffectsOf<StopTask>();
  ASSERT_EQ(stops.size(), GetParam() ? 1U : 0U);
  if (!GetParam()) return;
  EXPECT_EQ(stops[0].mode, StopMode::kCheckpoint);
  EXPECT_EQ(stops[0].task.value().substr(0, 7), "c-newer");
  zone.EndTask(stops[0].task, TaskEnd::kCheckpointed);
  const auto started = zone.LaunchAndStart();
  ASSERT_EQ(started.size(), 1U);
  EXPECT_EQ(started[0].job, JobId("urgent"));
}

TEST_P(MechanismTest, UrgentGangPreemptsOnSeveralWorkers) {
  PlacerOptions options;
  options.preemption = GetParam();
  PlacerHarness zone(options);
  zone.AddWorkers(3, kWorker);
  JobSpec filler = zone.MakeJob("filler", JobClass::kBatch, 6, kHalf);
  filler.checkpointable = true;
  zone.Submit(filler);
  ASSERT_EQ(zone.LaunchAndStart().size(), 6U);
  JobSpec gang = zone.MakeJob("gang", JobClass::kGang, 4, kHalf);
  gang.urgent = true;
  gang.priority = 10;
  zone.Submit(gang);
  zone.LaunchAndStart();
  const auto stops = zone.EffectsOf<StopTask>();
  ASSERT_EQ(stops.size(), GetParam() ? 4U : 0U);
  for (const StopTask& stop : stops) {
    zone.EndTask(stop.task, TaskEnd::kCheckpointed);
  }
  EXPECT_EQ(zone.LaunchAndStart().size(), GetParam() ? 4U : 0U);
}

TEST_P(MechanismTest, QuotaDelaysOnlyItsOwner) {
  PlacerOptions options;
  options.enforce_quota = GetParam();
  PlacerHarness zone(options);
  zone.AddWorkers(2, kWorker);
  zone.placer.SetQuota(OwnerId("owner"), kHalf);
  zone.Submit(zone.MakeJob("over", JobClass::kBatch, 2, kHalf));
  JobSpec other = zone.MakeJob("other", JobClass::kBatch, 1, kHalf);
  other.owner = OwnerId("somebody");
  zone.Submit(other);
  EXPECT_EQ(zone.LaunchAndStart().size(), GetParam() ? 2U : 3U);
  const WaitReason why = zone.placer.GetWaitReason(zone.now, JobId("over"));
  EXPECT_EQ(why.code, GetParam() ? ResultCode::kOverQuota : ResultCode::kOk)
      << why.sentence;
}

TEST_P(MechanismTest, SpreadBoundsTheInstancesInOneRack) {
  PlacerOptions options;
  options.spread = GetParam();
  PlacerHarness zone(options);
  zone.AddWorkers(50, kWorker);
  JobSpec desk = zone.MakeJob("desk", JobClass::kService, 50, {1000, 1024, 0});
  desk.spread = true;
  zone.Submit(desk);
  std::map<std::string, int> by_rack;
  std::unordered_map<WorkerId, std::string> racks;
  for (const auto& view : zone.placer.Workers()) {
    racks[view.spec.id] = view.spec.rack;
  }
  for (const auto& launch : zone.LaunchAndStart())
    ++by_rack[racks[launch.worker]];
  int most = 0;
  for (const auto& [rack, count] : by_rack) most = std::max(most, count);
  EXPECT_EQ(most <= 9, GetParam()) << most;
}

INSTANTIATE_TEST_SUITE_P(OnAndOff, MechanismTest, testing::Bool());

TEST(PolicyTest,
     UnreachableInstanceIsReplacedAtOnceAndSingletonOnlyAfterItsEnd) {
  PlacerHarness zone;
  zone.AddWorkers(3, kWorker);
  zone.Submit(zone.MakeJob("desk", JobClass::kService, 1, kHalf));
  zone.Submit(zone.MakeJob("poster", JobClass::kSingleton, 1, kHalf));
  const auto first = zone.LaunchAndStart();
  ASSERT_EQ(first.size(), 2U);
  for (const auto& launch : first) {
    zone.placer.OnTaskUnreachable(zone.now, launch.task, zone.effects);
  }
  const auto second = zone.LaunchAndStart();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].job, JobId("desk"));
  for (const auto& launch : first) {
    zone.placer.TaskLeaseExpired(zone.now, launch.task, zone.effects);
  }
  const auto third = zone.LaunchAndStart();
  ASSERT_EQ(third.size(), 1U);
  EXPECT_EQ(third[0].job, JobId("poster"));
}

TEST(PolicyTest, ReservationDropsARemovedWorker) {
  PlacerHarness zone;
  zone.AddWorkers(2, kWorker);
  zone.Submit(zone.MakeJob("filler", JobClass::kBatch, 2, kWorker));
  ASSERT_EQ(zone.LaunchAndStart().size(), 2U);
  zone.Submit(zone.MakeJob("gang", JobClass::kGang, 2, kWorker));
  zone.now += seconds(11);
  EXPECT_TRUE(zone.LaunchAndStart().empty());
  ASSERT_NE(zone.placer.GetWaitReason(zone.now, JobId("gang"))
                .sentence.find("reserved"),
            std::string::npos);
  // The filler must not start again on the new worker.
  const std::vector<JobId> filler = {JobId("filler")};
  zone.placer.CancelJobs(zone.now, filler, zone.effects);
  zone.placer.RemoveWorker(zone.now, WorkerId("w0"), zone.effects);
  // The new worker reuses the index of the removed one.
  zone.AddWorkers(1, kWorker, "new");
  for (const LaunchTask& launch : zone.LaunchAndStart()) {
    EXPECT_NE(launch.job, JobId("gang"));
  }
}

TEST(PolicyTest, LeavingWorkerKeepsItsInstanceUntilAnotherRuns) {
  PlacerHarness zone;
  zone.AddWorkers(1, kWorker);
  zone.Submit(zone.MakeJob("desk", JobClass::kService, 1, kHalf));
  ASSERT_EQ(zone.LaunchAndStart().size(), 1U);
  zone.SetWorkerState("w0", WorkerState::kLeaving);
  EXPECT_TRUE(zone.LaunchAndStart().empty());
  EXPECT_TRUE(zone.EffectsOf<StopTask>().empty());
  zone.AddWorkers(1, kWorker, "new");
  EXPECT_EQ(zone.LaunchAndStart().size(), 1U);
  EXPECT_EQ(zone.EffectsOf<StopTask>().size(), 1U);
}

TEST(PolicyTest, JobWithDeadlineGainsPriorityNearItsLatestStart) {
  PlacerHarness zone;
  zone.AddWorkers(1, kWorker);
  zone.Submit(zone.MakeJob("first", JobClass::kBatch, 1, kWorker));
  const auto running = zone.LaunchAndStart();
  JobSpec scoring = zone.MakeJob("scoring", JobClass::kBatch, 1, kWorker);
  scoring.run_time = hours(2);
  scoring.finish_by = zone.now + hours(8);
  JobSpec other = zone.MakeJob("other", JobClass::kBatch, 1, kWorker);
  other.priority = 10;
  zone.Submit(other);
  zone.Submit(scoring);
  zone.now += hours(5) + minutes(40);
  zone.EndTask(running[0].task, TaskEnd::kDone);
  const auto next = zone.LaunchAndStart();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].job, JobId("scoring"));
}

TEST(PolicyTest, JobThatNoLongerFitsIsReportedOnceAndBlocksNoOtherJob) {
  PlacerHarness zone;
  zone.AddWorkers(1, kWorker, "large");
  zone.AddWorkers(1, kHalf, "small");
  zone.Submit(zone.MakeJob("a", JobClass::kBatch, 2, kWorker));
  ASSERT_EQ(zone.LaunchAndStart().size(), 1U);
  zone.placer.RemoveWorker(zone.now, WorkerId("large0"), zone.effects);
  zone.Submit(zone.MakeJob("b", JobClass::kBatch, 1, kHalf));
  EXPECT_EQ(zone.LaunchAndStart().size(), 1U);
  zone.LaunchAndStart();
  ASSERT_EQ(zone.EffectsOf<JobUnplaceable>().size(), 1U);
  EXPECT_EQ(zone.placer.GetWaitReason(zone.now, JobId("a")).code,
            ResultCode::kNeverFits);
}

struct UsageCase {
  const char* name;
  Resources used;
  int reports;
  bool checkpointable;
  int throttles;
  int stops;
  StopMode mode;
};

class UsageTest : public testing::TestWithParam<UsageCase> {};

TEST_P(UsageTest, EnforcesTheDeclaredSizeOfTasks) {
  const UsageCase& given = GetParam();
  PlacerHarness zone;
  zone.AddWorkers(1, kWorker);
  JobSpec job = zone.MakeJob("liar", JobClass::kBatch, 1, kHalf);
  job.checkpointable = given.checkpointable;
  zone.Submit(job);
  zone.Submit(zone.MakeJob("honest", JobClass::kBatch, 1, kHalf));
  for (const LaunchTask& launch : zone.LaunchAndStart()) {
    if (launch.job != JobId("liar")) continue;
    for (int report = 0; report < given.reports; ++report) {
      zone.placer.ReportUsage(zone.now, launch.task, given.used, zone.effects);
    }
  }
  EXPECT_EQ(zone.EffectsOf<ThrottleTask>().size(),
            static_cast<std::size_t>(given.throttles));
  const auto stops = zone.EffectsOf<StopTask>();
  ASSERT_EQ(stops.size(), static_cast<std::size_t>(given.stops));
  for (const StopTask& stop : stops) EXPECT_EQ(stop.mode, given.mode);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, UsageTest,
    testing::Values(
        UsageCase{"within", kHalf, 3, true, 0, 0, StopMode::kStop},
        UsageCase{
            "processors_once", {12000, 1, 0}, 1, true, 1, 0, StopMode::kStop},
        UsageCase{"processors_again",
                  {12000, 1, 0},
                  2,
                  true,
                  1,
                  1,
                  StopMode::kCheckpoint},
        UsageCase{
            "memory", {1, 20000, 0}, 1, true, 0, 1, StopMode::kCheckpoint},
        UsageCase{"memory_no_checkpoint",
                  {1, 20000, 0},
                  1,
                  false,
                  0,
                  1,
                  StopMode::kStop}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chivewing
