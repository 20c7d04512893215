// Single cases of the dispatcher on the model of a cluster, by the platform's
// rule names, and the rows that outlive it.

#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include "dispatch/cluster_model.h"

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

TEST_F(DispatcherTest, StepsFollowOneAnother) {
  StepSpec second = Step(2, 1000, milliseconds(100));
  second.after = {0};
  model_.AddJob(
      model_.MakeJob("j", {Step(3, 1000, milliseconds(300)), second}));
  model_.RunFor(milliseconds(200));
  EXPECT_EQ(model_.CountRunning(JobId("j")), 3U);
  model_.RunFor(seconds(1));
  EXPECT_EQ(PhaseOf("j"), JobPhase::kCompleted);
  EXPECT_TRUE(model_.broken().empty());
}

TEST_F(DispatcherTest, AGangWaitsUntilAllOfItFits) {
  // 48 processors in all: the filler leaves room for 3 of the 5 tasks.
  model_.AddJob(model_.MakeJob("fill", {Step(4, 6000, seconds(2))}));
  model_.RunFor(milliseconds(200));
  StepSpec gang = Step(5, 7000, milliseconds(300));
  gang.gang = true;
  model_.AddJob(model_.MakeJob("gang", {gang}));
  model_.RunFor(seconds(1));
  EXPECT_EQ(model_.CountRunning(JobId("gang")), 0U);
  model_.RunFor(seconds(3));
  EXPECT_EQ(PhaseOf("gang"), JobPhase::kCompleted);
  EXPECT_TRUE(model_.broken().empty());
}

TEST_F(DispatcherTest, ACancelledJobIsStopped) {
  StepSpec lasting = Step(4, 1000, seconds(1));
  lasting.long_running = true;
  model_.AddJob(model_.MakeJob("j", {lasting}));
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

TEST_F(DispatcherTest, TasksOfALostWorkerStartAgainWhenItsLeaseHasEnded) {
  model_.AddJob(model_.MakeJob("j", {Step(1, 7500, seconds(20))}));
  model_.RunFor(milliseconds(300));
  for (std::size_t i = 0; i < 4; ++i) {
    if (model_.worker(i).running.empty()) continue;
    model_.worker(i).cut_until = model_.now() + seconds(60);
  }
  model_.RunFor(seconds(4));
  EXPECT_EQ(model_.started(), 1U);
  model_.RunFor(seconds(6));
  EXPECT_EQ(model_.started(), 2U);
  EXPECT_TRUE(model_.broken().empty());
}

TEST_F(DispatcherTest, ACopyIsStartedWhenTheWorkerDoesNotAnswer) {
  StepSpec step = Step(2, 1000, seconds(3));
  step.copies_allowed = true;
  model_.AddJob(model_.MakeJob("j", {step}));
  model_.RunFor(milliseconds(300));
  EXPECT_EQ(model_.started(), 2U);
  for (std::size_t i = 0; i < 4; ++i) {
    if (model_.worker(i).running.empty()) continue;
    model_.worker(i).cut_until = model_.now() + seconds(60);
  }
  model_.RunFor(milliseconds(2500));
  EXPECT_EQ(model_.started(), 4U) << "one copy of each task, no more";
  model_.RunFor(seconds(4));
  EXPECT_EQ(PhaseOf("j"), JobPhase::kCompleted);
  EXPECT_EQ(model_.started(), 4U);
}

// A replaced dispatcher had started a job that its successor reads late.
TEST_F(DispatcherTest, RunsOfAJobThatIsNotKnownYetAreKept) {
  TrackedWorker worker(model_.worker(0).registration);
  Dispatcher dispatcher({}, 2);
  dispatcher.set_advice_hosts({HostId("h0")});
  const TimePoint now = model_.now();
  dispatcher.AdoptWorker(now, worker.registration());
  dispatcher.RegisterWorker(now, worker.registration());
  dispatcher.EndTakeOver();
  DispatchEffects effects;
  dispatcher.Decide(now, milliseconds(0), effects);
  ASSERT_EQ(effects.size(), 1U);
  const auto poll = std::get<PollWorker>(effects.front());
  PollResponse answer;
  answer.outcome = CommandOutcome::kDone;
  answer.clock = WorkerTimestamp(1000);
  answer.running.push_back({{{JobId("late"), 0, 0, 0}, 1}, "", 10, 0});
  dispatcher.OnPollResponse(now, poll.worker, poll.poll_id, answer);
  dispatcher.AddJob(now, milliseconds(0),
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

// An order sent before the same host took its lease anew may arrive after one
// that was sent since: the worker refuses it, and nobody else is dispatching.
TEST_F(DispatcherTest, ARefusalOfAnOlderOwnFenceShowsNoOtherDispatcher) {
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

TEST(AdviceRequestManagerTest, QuickQuestionsNeverWaitBehindSlowOnes) {
  AdviceRequestManager desk;
  desk.set_advice_hosts({HostId("a"), HostId("b"), HostId("c")});
  const TimePoint now{seconds(1)};
  const milliseconds slow(400);
  const milliseconds quick(25);
  std::set<HostId> slow_hosts;
  while (const auto host = desk.FindAdviceHost(now, slow)) {
    EXPECT_TRUE(slow_hosts.insert(*host).second);
    PendingAdviceRequest ask;
    ask.advice_host = *host;
    ask.slow = true;
    desk.AddRequest(ask);
  }
  EXPECT_EQ(slow_hosts.size(), 2U) << "one host stays free for quick ones";
  const auto host = desk.FindAdviceHost(now, quick);
  ASSERT_TRUE(host);
  EXPECT_FALSE(slow_hosts.contains(*host));
}

// Of two hosts that can ask for advice one has gone: its questions fail at
// once.
TEST_F(DispatcherTest, AHostWhoseQuestionFailedIsNotAskedAgainAtOnce) {
  Dispatcher dispatcher({}, 2);
  dispatcher.set_advice_hosts({HostId("gone"), HostId("well")});
  TimePoint now = model_.now();
  dispatcher.RegisterWorker(now, model_.worker(0).registration);
  DispatchEffects effects;
  dispatcher.Decide(now, milliseconds(0), effects);
  const auto poll = std::get<PollWorker>(effects.front());
  PollResponse answer;
  answer.outcome = CommandOutcome::kDone;
  answer.clock = WorkerTimestamp(1000);
  dispatcher.OnPollResponse(now, poll.worker, poll.poll_id, answer);
  ProgressWriteBatch enrolling = dispatcher.TakeBatch(10);
  dispatcher.OnSaved(now, enrolling);
  JobRecord job = model_.MakeJob("j", {Step(1, 1000, seconds(1))});
  job.queue.advice =
      AdvicePolicy{milliseconds(20), milliseconds(0), seconds(2)};
  dispatcher.AddJob(now, milliseconds(0), job, std::nullopt, false);
  std::map<HostId, int> questions;
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(1);
    effects.clear();
    dispatcher.Decide(now, milliseconds(0), effects);
    for (const DispatchEffect& effect : effects) {
      const auto* const ask = std::get_if<AdviceRequest>(&effect);
      if (ask == nullptr) continue;
      ++questions[ask->advice_host];
      AdviceResponse advice;
      advice.ok = ask->advice_host == HostId("well");
      advice.valid_for = seconds(2);
      if (advice.ok) advice.approved.push_back({ask->workers.front(), "t"});
      dispatcher.OnAdviceResponse(now, ask->request_id, advice);
    }
  }
  EXPECT_LE(questions[HostId("gone")], 1);
  EXPECT_EQ(questions[HostId("well")], 1);
  EXPECT_EQ(dispatcher.state().counts.starts, 1U);
}

TEST(AdviceRequestManagerTest, AHostThatHasComeBackIsAskedAgain) {
  AdviceRequestManager desk;
  const TimePoint now{seconds(1)};
  const milliseconds quick(25);
  desk.set_advice_hosts({HostId("a")});
  desk.OnFailure(now, HostId("a"));
  EXPECT_FALSE(desk.FindAdviceHost(now, quick));
  EXPECT_TRUE(desk.FindAdviceHost(now + seconds(2), quick));
  desk.set_advice_hosts({});
  desk.set_advice_hosts({HostId("a")});
  EXPECT_TRUE(desk.FindAdviceHost(now, quick));
}

TEST(StepAdviceCacheTest, TicketsExpireAndWhatIsBadStaysBad) {
  StepAdviceCache advice;
  const TimePoint now{seconds(1)};
  AdviceResponse answer;
  answer.ok = true;
  answer.valid_for = milliseconds(2500);
  answer.approved.push_back({WorkerId("good"), "t"});
  advice.OnAnswer(now, {WorkerId("good"), WorkerId("bad")}, answer);
  EXPECT_NE(advice.FindTicket(WorkerId("good"), now + seconds(2)), nullptr);
  EXPECT_EQ(advice.FindTicket(WorkerId("good"), now + seconds(3)), nullptr);
  EXPECT_TRUE(advice.IsApproved(WorkerId("good")));
  EXPECT_TRUE(advice.IsBad(WorkerId("bad")));
  advice.Forget(WorkerId("bad"));
  EXPECT_FALSE(advice.IsBad(WorkerId("bad")));
}

TEST(JobRowsTest, RecordsGoThereAndBack) {
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

TEST(JobRowsTest, ProgressGoesThereAndBack) {
  JobProgress progress;
  progress.state = JobPhase::kRunning;
  progress.highest_run = 1003;
  progress.occurrences[0].resize(2);
  progress.occurrences[0][0][1].done = true;
  progress.occurrences[0][1][4].failed_runs = {1, 1001};
  progress.occurrences[0][1][4].saved = "00ab";
  const std::string text = EncodeJobProgress(progress);
  const Result<JobProgress> back = DecodeJobProgress(text);
  ASSERT_TRUE(back);
  EXPECT_EQ(EncodeJobProgress(back.value()), text);
  EXPECT_FALSE(DecodeJobProgress(R"({"state":"odd","top_run":0})"));
}

TEST(WorkerTest, LeasesEndBySlowClocks) {
  DispatchOptions options;
  TrackedWorker worker{WorkerRegistration{}};
  const TimePoint now{seconds(100)};
  EXPECT_FALSE(worker.GrantLease(now, seconds(5)));
  worker.SetClock(now, WorkerTimestamp(50'000));
  EXPECT_EQ(worker.GrantLease(now + seconds(1), seconds(5)),
            WorkerTimestamp(56'000));
  // Six seconds on a clock that is two in a hundred slow, and the margin.
  EXPECT_GT(worker.LeaseExpiry(options), now + milliseconds(6400));
  EXPECT_LT(worker.LeaseExpiry(options), now + milliseconds(6500));
  EXPECT_FALSE(worker.IsRestarted(now + seconds(2), WorkerTimestamp(51'000)));
  EXPECT_TRUE(worker.IsRestarted(now + seconds(2), WorkerTimestamp(100)));
}

}  // namespace
}  // namespace chivewing
