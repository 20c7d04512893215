// Tests of the dispatcher on a simulated cluster, of its parts, and of the
// encoding of its rows.

#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include <optional>

#include "dispatch/cluster_model.h"
#include "dispatch/job_limits.h"

namespace chivewing {
namespace {

ModelOptions SmallCluster() {
  ModelOptions options;
  options.workers = 4;
  options.jobs = 0;
  return options;
}

StepSpec Step(std::size_t tasks, std::int64_t processors,
              milliseconds estimate) {
  StepSpec step;
  step.task_count = tasks;
  step.size = {processors, 1000, 0};
  step.estimate = estimate;
  return step;
}

class DispatcherTest : public testing::Test {
 protected:
  void SetUp() override { model_.RunFor(milliseconds(100)); }
  JobPhase PhaseOf(const std::string& job) {
    const auto found = model_.table().find(JobId(job));
    return found == model_.table().end() ? JobPhase::kQueued
                                         : found->second.state;
  }

  ClusterModel model_{SmallCluster()};
};

TEST_F(DispatcherTest, AStepStartsOnceThePrecedingStepIsDone) {
  StepSpec second = Step(2, 1000, milliseconds(100));
  second.after = {0};
  model_.AddJob(
      model_.MakeJob("j", {Step(3, 1000, milliseconds(300)), second}));
  model_.RunFor(milliseconds(200));
  EXPECT_EQ(model_.CountRunning(JobId("j")), 3U);
  model_.RunFor(seconds(1));
  EXPECT_EQ(PhaseOf("j"), JobPhase::kCompleted);
  EXPECT_TRUE(model_.violations().empty());
}

TEST_F(DispatcherTest, AGangWaitsUntilAllItsTasksFit) {
  // Of 48 processors in all, the first job leaves enough for 3 of the 5 tasks.
  model_.AddJob(model_.MakeJob("fill", {Step(4, 6000, seconds(2))}));
  model_.RunFor(milliseconds(200));
  StepSpec gang = Step(5, 7000, milliseconds(300));
  gang.gang = true;
  model_.AddJob(model_.MakeJob("gang", {gang}));
  model_.RunFor(seconds(1));
  EXPECT_EQ(model_.CountRunning(JobId("gang")), 0U);
  model_.RunFor(seconds(3));
  EXPECT_EQ(PhaseOf("gang"), JobPhase::kCompleted);
  EXPECT_TRUE(model_.violations().empty());
}

// New jobs waited for 1.5 s after a take-over if one worker was out of reach.
TEST_F(DispatcherTest,
       JobsAcceptedAfterATakeOverDoNotWaitForWorkersOutOfReach) {
  model_.AddJob(model_.MakeJob("old", {Step(4, 1000, seconds(30))}));
  model_.RunFor(milliseconds(300));
  model_.worker(0).unreachable_until = model_.now() + seconds(5);
  model_.ReplaceDispatcher();
  model_.RunFor(milliseconds(100));
  model_.AddJob(model_.MakeJob("new", {Step(4, 1000, seconds(30))}));
  model_.RunFor(milliseconds(200));
  EXPECT_EQ(model_.CountRunning(JobId("new")), 4U);
  EXPECT_TRUE(model_.violations().empty());
}

// Every occurrence that was due was opened, with all its tasks.
TEST_F(DispatcherTest, AJobWithManyDueOccurrencesDoesNotFillTheMemory) {
  JobRecord record = model_.MakeJob("j", {Step(1, 1000, milliseconds(10))});
  record.spec.repeats = 1000;
  record.spec.first_at = milliseconds(1);
  record.spec.interval = milliseconds(1);
  model_.AddJob(record);
  const TrackedJob* job = nullptr;
  for (int i = 0; i < 400; ++i) {
    model_.RunFor(milliseconds(50));
    job = &model_.dispatcher().state().jobs.at(JobId("j"));
    ASSERT_LE(job->occurrences.size(), kMaxOpenOccurrences);
  }
  EXPECT_EQ(PhaseOf("j"), JobPhase::kCompleted);
  EXPECT_TRUE(model_.violations().empty());
}

TEST_F(DispatcherTest, ACancelledJobIsStopped) {
  StepSpec long_running = Step(4, 1000, seconds(1));
  long_running.long_running = true;
  model_.AddJob(model_.MakeJob("j", {long_running}));
  model_.RunFor(milliseconds(300));
  EXPECT_EQ(model_.CountRunning(JobId("j")), 4U);
  model_.Cancel(JobId("j"));
  model_.RunFor(seconds(1));
  EXPECT_EQ(model_.CountRunning(JobId("j")), 0U);
  EXPECT_EQ(PhaseOf("j"), JobPhase::kCancelled);
}

TEST_F(DispatcherTest, DrainingWorkersGetNoNewTasks) {
  for (std::size_t i = 1; i < 4; ++i) {
    WorkerRegistration leaving = model_.worker(i).registration;
    leaving.draining = true;
    model_.dispatcher().RegisterWorker(model_.now(), leaving);
  }
  model_.AddJob(model_.MakeJob("j", {Step(6, 1000, seconds(5))}));
  model_.RunFor(milliseconds(300));
  EXPECT_EQ(model_.worker(0).running.size(), 6U);
}

TEST_F(DispatcherTest, TasksOfALostWorkerRestartAfterItsLeaseExpires) {
  model_.AddJob(model_.MakeJob("j", {Step(1, 7500, seconds(20))}));
  model_.RunFor(milliseconds(300));
  for (std::size_t i = 0; i < 4; ++i) {
    if (model_.worker(i).running.empty()) continue;
    model_.worker(i).unreachable_until = model_.now() + seconds(60);
  }
  model_.RunFor(seconds(4));
  EXPECT_EQ(model_.started(), 1U);
  model_.RunFor(seconds(6));
  EXPECT_EQ(model_.started(), 2U);
  EXPECT_TRUE(model_.violations().empty());
}

TEST_F(DispatcherTest, ACopyIsStartedWhenTheWorkerIsUnresponsive) {
  StepSpec step = Step(2, 1000, seconds(3));
  step.copies_allowed = true;
  model_.AddJob(model_.MakeJob("j", {step}));
  model_.RunFor(milliseconds(300));
  EXPECT_EQ(model_.started(), 2U);
  for (std::size_t i = 0; i < 4; ++i) {
    if (model_.worker(i).running.empty()) continue;
    model_.worker(i).unreachable_until = model_.now() + seconds(60);
  }
  model_.RunFor(milliseconds(2500));
  EXPECT_EQ(model_.started(), 4U) << "expected exactly one copy of each task";
  model_.RunFor(seconds(4));
  EXPECT_EQ(PhaseOf("j"), JobPhase::kCompleted);
  EXPECT_EQ(model_.started(), 4U);
}

// Guards against stopping or restarting runs that a worker lists before the new
// dispatcher has read their job's row.
TEST_F(DispatcherTest, RunsListedBeforeTheirJobIsKnownAreKept) {
  TrackedWorker worker(model_.worker(0).registration);
  Dispatcher dispatcher({}, 2);
  dispatcher.set_advice_hosts({HostId("h0")});
  const TimePoint now = model_.now();
  dispatcher.AdoptWorker(now, now, worker.registration());
  dispatcher.RegisterWorker(now, worker.registration());
  dispatcher.EndTakeOver();
  DispatchEffects effects;
  dispatcher.Decide(now, milliseconds(0), effects);
  ASSERT_EQ(effects.size(), 1U);
  const auto poll = std::get<PollWorker>(effects.front());
  PollResponse response;
  response.outcome = CommandOutcome::kDone;
  response.clock = WorkerTimestamp(1000);
  response.running.push_back({{{JobId("late"), 0, 0, 0}, 1}, "", 10, 0});
  dispatcher.OnPollResponse(now, poll.worker, poll.poll_id, response);
  dispatcher.AddJob(now, now,
                    model_.MakeJob("late", {Step(1, 1000, seconds(1))}),
                    std::nullopt, false);
  effects.clear();
  dispatcher.Decide(now + milliseconds(1), milliseconds(0), effects);
  for (const DispatchEffect& effect : effects) {
    EXPECT_FALSE(std::holds_alternative<StartRun>(effect));
    EXPECT_FALSE(std::holds_alternative<StopRun>(effect));
  }
  EXPECT_EQ(dispatcher.state().runs.all().size(), 1U);
}

// After a take-over that took long, jobs waited for a whole lease of workers
// out of reach, although the holder before cannot have renewed it.
TEST_F(DispatcherTest, LeasesOfWorkersOutOfReachEndWithThatOfTheHolderBefore) {
  DispatchOptions options;
  Dispatcher dispatcher(options, 2);
  const TimePoint taken_over = model_.now();
  const TimePoint ended = taken_over - seconds(4);
  for (const std::size_t each : {0U, 1U}) {
    const WorkerRegistration& worker = model_.worker(each).registration;
    dispatcher.AdoptWorker(taken_over, ended, worker);
    dispatcher.RegisterWorker(taken_over, worker);
  }
  dispatcher.AddJob(taken_over, taken_over,
                    model_.MakeJob("j", {Step(1, 1000, seconds(1))}),
                    std::nullopt, true);
  const WorkerId out_of_reach = model_.worker(0).registration.worker;
  std::optional<TimePoint> started;
  TimePoint now = taken_over;
  for (; now < taken_over + seconds(9) && !started; now += milliseconds(10)) {
    DispatchEffects effects;
    dispatcher.Decide(now, milliseconds(0), effects);
    for (const DispatchEffect& effect : effects) {
      if (std::holds_alternative<StartRun>(effect)) started = now;
      const auto* const poll = std::get_if<PollWorker>(&effect);
      if (poll == nullptr) continue;
      PollResponse response;
      if (poll->worker != out_of_reach) {
        response.outcome = CommandOutcome::kDone;
        response.clock =
            std::chrono::duration_cast<WorkerTimestamp>(now.time_since_epoch());
      }
      dispatcher.OnPollResponse(now, poll->worker, poll->poll_id, response);
    }
  }
  ASSERT_TRUE(started);
  EXPECT_GE(*started, ended + options.lease);
  EXPECT_LE(*started, ended + options.lease + milliseconds(600));
}

// Guards against a dispatcher that takes its own older fence for a competitor:
// a command sent before the host reacquired its lease can arrive after one sent
// since, and the worker refuses it as fenced.
TEST_F(DispatcherTest, ARefusalOfItsOwnOlderFenceDoesNotFenceTheDispatcher) {
  Dispatcher dispatcher({}, 2);
  const TimePoint now = model_.now();
  dispatcher.RegisterWorker(now, model_.worker(0).registration);
  DispatchEffects effects;
  dispatcher.Decide(now, milliseconds(0), effects);
  const auto old = std::get<PollWorker>(effects.front());
  dispatcher.set_fence(3);
  PollResponse refused;
  refused.outcome = CommandOutcome::kFenced;
  refused.fence = old.fence;
  dispatcher.OnPollResponse(now, old.worker, old.poll_id, refused);
  EXPECT_FALSE(dispatcher.fenced_off());
  effects.clear();
  dispatcher.Decide(now, milliseconds(0), effects);
  ASSERT_EQ(effects.size(), 1U);
  const auto next = std::get<PollWorker>(effects.front());
  EXPECT_EQ(next.fence, 3U);
  refused.fence = next.fence;
  dispatcher.OnPollResponse(now, next.worker, next.poll_id, refused);
  EXPECT_TRUE(dispatcher.fenced_off());
}

struct ExpiredWorkerCase {
  std::string name;
  bool holds_host_lease = true;
};

class ExpiredWorkerLeaseTest
    : public testing::TestWithParam<ExpiredWorkerCase> {};

TEST_P(ExpiredWorkerLeaseTest, TheLoopDoesNotSpin) {
  const DispatchOptions options;
  Dispatcher dispatcher(options, 1);
  const TimePoint start{std::chrono::hours(1)};
  WorkerRegistration worker;
  worker.worker = WorkerId("w");
  dispatcher.RegisterWorker(start, worker);
  if (!GetParam().holds_host_lease) dispatcher.set_sole_until(start);
  std::size_t turns = 0;
  TimePoint now = start;
  const TimePoint end = start + 3 * options.lease;
  while (now < end) {
    ++turns;
    DispatchEffects effects;
    const TimePoint next = dispatcher.Decide(now, milliseconds(0), effects);
    for (const DispatchEffect& effect : effects) {
      const auto& poll = std::get<PollWorker>(effect);
      dispatcher.OnPollResponse(now, poll.worker, poll.poll_id, {});
    }
    now = std::max(next, now + std::chrono::microseconds(50));
  }
  const auto polls =
      static_cast<std::size_t>((end - start) / options.poll_retry_delay);
  // A turn for each poll, one for its response, and the reprioritizations.
  EXPECT_LE(turns, 3 * polls);
}

INSTANTIATE_TEST_SUITE_P(All, ExpiredWorkerLeaseTest,
                         testing::Values(ExpiredWorkerCase{"LeaseHeld", true},
                                         ExpiredWorkerCase{"LeaseLost", false}),
                         [](const auto& info) { return info.param.name; });

TEST(AdviceRequestManagerTest, QuickRequestsNeverWaitBehindSlowOnes) {
  AdviceRequestManager manager;
  manager.set_advice_hosts({HostId("a"), HostId("b"), HostId("c")});
  const TimePoint now{seconds(1)};
  const milliseconds slow(400);
  const milliseconds quick(25);
  std::set<HostId> slow_hosts;
  while (const auto host = manager.FindAdviceHost(now, slow)) {
    EXPECT_TRUE(slow_hosts.insert(*host).second);
    PendingAdviceRequest request;
    request.advice_host = *host;
    request.slow = true;
    manager.AddRequest(request);
  }
  EXPECT_EQ(slow_hosts.size(), 2U) << "one host is reserved for quick requests";
  const auto host = manager.FindAdviceHost(now, quick);
  ASSERT_TRUE(host);
  EXPECT_FALSE(slow_hosts.contains(*host));
}

// The advice service rejects a worker that is down. The worker is back, and
// known to have restarted, when the response arrives.
TEST(StaleAdviceTest, AVerdictAboutAnEarlierIncarnationKeepsNoStepFromRunning) {
  ModelOptions options;
  options.workers = 1;
  options.jobs = 0;
  options.advice = true;
  options.min_advice_time = milliseconds(2000);
  options.max_advice_time = milliseconds(2000);
  options.advice_by_incarnation = true;
  ClusterModel model(options);
  model.RunFor(milliseconds(100));
  JobId job("j");
  while (!model.IsApprovedOn(job, 0)) job = JobId(job.value() + "j");
  model.AddJob(model.MakeJob(job.value(), {Step(1, 1000, seconds(30))}));
  model.RunFor(milliseconds(850));
  model.CrashWorker(0, milliseconds(300));
  model.RunFor(seconds(10));
  EXPECT_EQ(model.CountRunning(job), 1U);
}

// One of two hosts fails: the other one counted as kept for both kinds.
TEST(AdviceRequestManagerTest, TheOnlyUsableHostSendsBothKindsInTurn) {
  AdviceRequestManager manager;
  TimePoint now{std::chrono::hours(1)};
  manager.set_advice_hosts({HostId("gone"), HostId("well")});
  manager.OnFailure(now, HostId("gone"));
  manager.set_slow_waiting(true);
  for (int i = 0; i < 4; ++i) {
    const bool slow = i % 2 == 0;
    const auto host =
        manager.FindAdviceHost(now, milliseconds(slow ? 500 : 20));
    ASSERT_TRUE(host) << i;
    EXPECT_EQ(*host, HostId("well"));
    PendingAdviceRequest request;
    request.advice_host = *host;
    request.slow = slow;
    manager.TakeRequest(manager.AddRequest(request));
  }
}

// Guards against resending every advice request through a host whose requests
// fail at once.
TEST_F(DispatcherTest, AHostWhoseAdviceRequestFailedIsNotUsedAgainAtOnce) {
  Dispatcher dispatcher({}, 2);
  dispatcher.set_advice_hosts({HostId("gone"), HostId("well")});
  TimePoint now = model_.now();
  dispatcher.RegisterWorker(now, model_.worker(0).registration);
  DispatchEffects effects;
  dispatcher.Decide(now, milliseconds(0), effects);
  const auto poll = std::get<PollWorker>(effects.front());
  PollResponse response;
  response.outcome = CommandOutcome::kDone;
  response.clock = WorkerTimestamp(1000);
  dispatcher.OnPollResponse(now, poll.worker, poll.poll_id, response);
  ProgressWriteBatch enrolling = dispatcher.TakeBatch(10);
  dispatcher.OnSaved(now, enrolling);
  JobRecord job = model_.MakeJob("j", {Step(1, 1000, seconds(1))});
  job.queue.advice =
      AdvicePolicy{milliseconds(20), milliseconds(0), seconds(2)};
  dispatcher.AddJob(now, now, job, std::nullopt, false);
  std::map<HostId, int> request_counts;
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(1);
    effects.clear();
    dispatcher.Decide(now, milliseconds(0), effects);
    for (const DispatchEffect& effect : effects) {
      const auto* const request = std::get_if<AdviceRequest>(&effect);
      if (request == nullptr) continue;
      ++request_counts[request->advice_host];
      AdviceResponse advice;
      advice.ok = request->advice_host == HostId("well");
      advice.valid_for = seconds(2);
      if (advice.ok) advice.approved.push_back({request->workers.front(), "t"});
      dispatcher.OnAdviceResponse(now, request->request_id, advice);
    }
  }
  EXPECT_LE(request_counts[HostId("gone")], 1);
  EXPECT_EQ(request_counts[HostId("well")], 1);
  EXPECT_EQ(dispatcher.state().counts.starts, 1U);
}

TEST(AdviceRequestManagerTest, AHostThatReturnsIsUsedAgainAtOnce) {
  AdviceRequestManager manager;
  const TimePoint now{seconds(1)};
  const milliseconds quick(25);
  manager.set_advice_hosts({HostId("a")});
  manager.OnFailure(now, HostId("a"));
  EXPECT_FALSE(manager.FindAdviceHost(now, quick));
  EXPECT_TRUE(manager.FindAdviceHost(now + seconds(2), quick));
  manager.set_advice_hosts({});
  manager.set_advice_hosts({HostId("a")});
  EXPECT_TRUE(manager.FindAdviceHost(now, quick));
}

TEST(StepAdviceCacheTest, TicketsExpireAndRejectionsDoNot) {
  StepAdviceCache advice;
  const TimePoint now{seconds(1)};
  AdviceResponse response;
  response.ok = true;
  response.valid_for = milliseconds(2500);
  response.approved.push_back({WorkerId("good"), "t"});
  advice.OnResponse(now, {WorkerId("good"), WorkerId("bad")}, response);
  EXPECT_NE(advice.FindTicket(WorkerId("good"), now + seconds(2)), nullptr);
  EXPECT_EQ(advice.FindTicket(WorkerId("good"), now + seconds(3)), nullptr);
  EXPECT_TRUE(advice.IsApproved(WorkerId("good")));
  EXPECT_TRUE(advice.IsRejected(WorkerId("bad")));
  advice.Forget(WorkerId("bad"));
  EXPECT_FALSE(advice.IsRejected(WorkerId("bad")));
}

TEST(JobRowsTest, RecordsSurviveEncodingAndDecoding) {
  ClusterModel model(SmallCluster());
  StepSpec step = Step(3, 1500, milliseconds(700));
  step.gang = true;
  step.data_rack = "r1";
  step.max_unavailable = 0;
  step.after = {};
  JobRecord record = model.MakeJob("j", {step});
  record.queue.advice =
      AdvicePolicy{milliseconds(5), milliseconds(1), milliseconds(2500)};
  record.spec.repeats = 2;
  const std::string text = EncodeJobRecord(record);
  const Result<JobRecord> back = DecodeJobRecord(record.id, text);
  ASSERT_TRUE(back);
  EXPECT_EQ(EncodeJobRecord(back.value()), text);
  EXPECT_EQ(back.value().spec.steps[0].max_unavailable, 0U);
  EXPECT_FALSE(DecodeJobRecord(record.id, "{}"));
}

TEST(JobRowsTest, ProgressSurvivesEncodingAndDecoding) {
  JobProgress progress;
  progress.state = JobPhase::kRunning;
  progress.highest_run = 1003;
  progress.occurrences[0].resize(2);
  progress.occurrences[0][0][1].done = true;
  progress.occurrences[0][1][4].failed_runs = {1, 1001};
  progress.occurrences[0][1][4].saved = "00ab";
  progress.occurrences[0][1][5].crashes = 1;
  progress.occurrences[0][1][5].noted_start = NotedStart{};
  progress.occurrences[0][1][6].isolated_starts = 1;
  progress.occurrences[0][1][6].noted_start =
      NotedStart{true, WorkerId("w"), milliseconds(7)};
  const std::string text = EncodeJobProgress(progress);
  const Result<JobProgress> back = DecodeJobProgress(text);
  ASSERT_TRUE(back);
  EXPECT_EQ(EncodeJobProgress(back.value()), text);
  const StepProgress& step = back.value().occurrences.at(0).at(1);
  EXPECT_TRUE(step.at(5).noted_start);
  EXPECT_EQ(step.at(6).noted_start->worker, WorkerId("w"));
  EXPECT_FALSE(DecodeJobProgress(R"({"state":"odd","top_run":0})"));
}

TEST(TrackedWorkerTest, LeaseExpiryAllowsForASlowClock) {
  DispatchOptions options;
  TrackedWorker worker{WorkerRegistration{}};
  const TimePoint now{seconds(100)};
  EXPECT_FALSE(worker.GrantLease(now, seconds(5)));
  worker.SetClock(now, WorkerTimestamp(50'000));
  EXPECT_EQ(worker.GrantLease(now + seconds(1), seconds(5)),
            WorkerTimestamp(56'000));
  // Six seconds on a clock that is 2 percent slow, plus the margin.
  EXPECT_GT(worker.LeaseExpiry(options), now + milliseconds(6400));
  EXPECT_LT(worker.LeaseExpiry(options), now + milliseconds(6500));
  EXPECT_FALSE(worker.IsRestarted(now + seconds(2), WorkerTimestamp(51'000)));
  EXPECT_TRUE(worker.IsRestarted(now + seconds(2), WorkerTimestamp(100)));
}

}  // namespace
}  // namespace chivewing
