// Registrations that nothing but their text vouches for: entries of other
// writers beside workers that run tasks.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTasks = 4;
const char* const kAddress = "10.0.0.1:80";
const char* const kOtherAddress = "10.0.0.2:80";
const WorkerId kWorker("w");
const WorkerId kForeign("foreign");

// A dispatcher and a network of addresses, at each of which at most one worker
// answers, for its own id only.
class UnprovedWorkerTest : public testing::Test {
 protected:
  struct Life {
    WorkerId id{};
    milliseconds start{0};
    std::vector<ActiveRunReport> running{};
  };

  void SetUp() override {
    lives_[kAddress] = {kWorker, milliseconds(1000), {}};
    lives_[kOtherAddress] = {WorkerId("v"), milliseconds(1000), {}};
    dispatcher_.RegisterWorker(now_, Registration(kWorker, kAddress, 1000));
    JobRecord record;
    record.id = JobId("j");
    record.queue.max_attempts = 3;
    StepSpec step;
    step.task_count = kTasks;
    step.size = {1000, 1, 0};
    step.estimate = seconds(60);
    record.spec.steps = {step};
    dispatcher_.AddJob(now_, now_, record, std::nullopt, false);
    Pass(seconds(1));
    ASSERT_EQ(dispatcher_.state().counts.starts, kTasks);
  }

  static WorkerRegistration Registration(const WorkerId& id,
                                         const std::string& address,
                                         std::int64_t start_ms) {
    WorkerRegistration out;
    out.worker = id;
    out.address = address;
    out.capacity = {100'000, 100'000, 0};
    out.incarnation_start = milliseconds(start_ms);
    return out;
  }

  void Pass(Duration time) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += milliseconds(10)) {
      DispatchEffects effects;
      dispatcher_.Decide(now_, milliseconds(0), effects);
      for (const DispatchEffect& effect : effects) CarryOut(effect);
      dispatcher_.OnSaved(now_, dispatcher_.TakeBatch(60));
    }
  }

  std::uint64_t runs_lost() const {
    return dispatcher_.state().counts.runs_lost;
  }

  TimePoint now_{seconds(100)};
  Dispatcher dispatcher_{{}, 2};
  std::map<std::string, Life> lives_;  // by address
  bool cut_ = false;                   // kAddress does not respond
  std::map<WorkerId, std::size_t> polls_;

 private:
  template <typename Response>
  Response Respond(const std::string& address, const WorkerId& id) const {
    Response response;
    const auto life = lives_.find(address);
    if (life == lives_.end() || (cut_ && address == kAddress)) return response;
    response.outcome = life->second.id == id
                           ? CommandOutcome::kDone
                           : CommandOutcome::kWrongIncarnation;
    if (response.outcome != CommandOutcome::kDone) return response;
    const TimePoint born{seconds(50) + life->second.start};
    response.clock = std::chrono::duration_cast<WorkerTimestamp>(now_ - born);
    return response;
  }

  void CarryOut(const DispatchEffect& effect) {
    if (const auto* start = std::get_if<StartRun>(&effect)) {
      const auto response =
          Respond<CommandResponse>(start->address, start->worker);
      if (response.outcome == CommandOutcome::kDone)
        lives_[start->address].running.push_back({start->run, "", 0, 0});
      dispatcher_.OnStartResponse(now_, start->run_id, response);
    } else if (const auto* stop = std::get_if<StopRun>(&effect)) {
      dispatcher_.OnStopAnswer(
          now_, stop->run_id, stop->worker,
          Respond<CommandResponse>(stop->address, stop->worker));
    } else if (const auto* poll = std::get_if<PollWorker>(&effect)) {
      ++polls_[poll->worker];
      auto response = Respond<PollResponse>(poll->address, poll->worker);
      if (response.outcome == CommandOutcome::kDone) {
        response.running = lives_[poll->address].running;
        response.incarnation_start = lives_[poll->address].start;
      }
      dispatcher_.OnPollResponse(now_, poll->worker, poll->poll_id, response);
    }
  }
};

// The tasks of a worker that was cut off were started a second time beside an
// entry that named its address and a later start (review case 8, TWICE).
TEST_F(UnprovedWorkerTest, AnEntryAloneDoesNotEndTheWorkerAtItsAddress) {
  dispatcher_.RegisterWorker(now_, Registration(kForeign, kAddress, 2000));
  Pass(seconds(1));
  cut_ = true;
  Pass(seconds(2));
  EXPECT_EQ(runs_lost(), 0U);
  cut_ = false;
  Pass(seconds(1));
  EXPECT_EQ(runs_lost(), 0U);
  EXPECT_EQ(lives_[kAddress].running.size(), kTasks);
  EXPECT_EQ(dispatcher_.state().counts.starts, kTasks);
}

// The same for an entry that comes while the worker is cut off.
TEST_F(UnprovedWorkerTest, AnEntryThatComesLateDoesNotEndASilentWorker) {
  cut_ = true;
  Pass(seconds(1));
  dispatcher_.RegisterWorker(now_, Registration(kForeign, kAddress, 2000));
  Pass(seconds(1));
  EXPECT_EQ(runs_lost(), 0U);
}

// Without proof the runs end with their lease.
TEST_F(UnprovedWorkerTest, ASilentWorkerBesideAnEntryEndsWithItsLease) {
  dispatcher_.RegisterWorker(now_, Registration(kForeign, kAddress, 2000));
  cut_ = true;
  Pass(seconds(5));
  EXPECT_EQ(runs_lost(), 0U);
  Pass(seconds(3));
  EXPECT_EQ(runs_lost(), kTasks);
}

// With proof they end at once: the later worker has answered at the address.
TEST_F(UnprovedWorkerTest, AnAnswerUnderAnotherIdEndsTheEarlierWorker) {
  cut_ = true;
  Pass(milliseconds(300));
  lives_[kAddress] = {WorkerId("later"), milliseconds(2000), {}};
  dispatcher_.RegisterWorker(now_,
                             Registration(WorkerId("later"), kAddress, 2000));
  Pass(milliseconds(600));
  EXPECT_EQ(runs_lost(), 0U);
  cut_ = false;
  Pass(milliseconds(600));
  EXPECT_EQ(runs_lost(), kTasks);
  EXPECT_EQ(dispatcher_.state().counts.starts, 2 * kTasks);
}

// A registration that was overwritten with the address of another worker, which
// refuses the poll, gave up the runs of a worker that went on.
TEST_F(UnprovedWorkerTest, ARefusalAtAnotherAddressDoesNotEndAWorker) {
  dispatcher_.RegisterWorker(now_, Registration(kWorker, kOtherAddress, 1000));
  Pass(seconds(1));
  EXPECT_EQ(runs_lost(), 0U);
  dispatcher_.RegisterWorker(now_, Registration(kWorker, kAddress, 1000));
  Pass(seconds(1));
  EXPECT_EQ(runs_lost(), 0U);
  EXPECT_EQ(dispatcher_.state().counts.starts, kTasks);
}

// The foreign entry was polled, and ended anew, each 0.1 s.
TEST_F(UnprovedWorkerTest, AnEntryThatIsRefusedIsPolledSeldom) {
  dispatcher_.RegisterWorker(now_, Registration(kForeign, kAddress, 2000));
  testing::internal::CaptureStdout();
  Pass(seconds(10));
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_LE(polls_[kForeign], 21U);
  EXPECT_EQ(log.find("incarnation has ended"), std::string::npos) << log;
}

// A worker that is not there when its registration is read is polled at once
// when it has registered anew.
TEST_F(UnprovedWorkerTest, ANewRegistrationIsPolledAtOnce) {
  dispatcher_.RegisterWorker(now_, Registration(kForeign, kAddress, 2000));
  Pass(milliseconds(50));
  lives_[kAddress] = {kForeign, milliseconds(3000), {}};
  dispatcher_.RegisterWorker(now_, Registration(kForeign, kAddress, 3000));
  Pass(milliseconds(20));
  EXPECT_TRUE(dispatcher_.state().workers.at(kForeign).synced);
}

}  // namespace
}  // namespace chivewing
