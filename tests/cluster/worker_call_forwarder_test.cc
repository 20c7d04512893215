#include "cluster/worker_call_forwarder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>

#include "cluster/fake_worker_calls.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId kA("a");
const HostId kB("b");

StartRun MakeStart(const std::string& worker) {
  StartRun out;
  out.worker = WorkerId(worker);
  out.payload = "p";
  return out;
}

PollWorker MakePoll(const std::string& worker) {
  PollWorker out;
  out.worker = WorkerId(worker);
  out.wait = milliseconds(600);
  return out;
}

// A forwarder with fakes in place of the workers and of the peers.
struct Harness {
  explicit Harness(std::uint64_t incarnation = 1)
      : platform(workers.interface()),
        forwarder(platform, incarnation,
                  {.send =
                       [this](const HostId& to, const PeerMessage& message) {
                         if (refuse) return false;
                         sent.emplace_back(to, std::get<WorkerCalls>(message));
                         return true;
                       },
                   .zone_of = [](const WorkerId&) { return ZoneId("z"); }}) {}

  void SetGateways(const std::vector<HostId>& hosts) {
    std::vector<GatewayOption> options;
    options.reserve(hosts.size());
    for (const HostId& host : hosts) options.push_back({host, ZoneId("z")});
    forwarder.SetGateways(options);
  }
  void Start(const std::string& worker) {
    forwarder.interface().start_run(MakeStart(worker),
                                    [this](const CommandResponse& response) {
                                      started.push_back(response);
                                    });
  }
  void Poll(const std::string& worker) {
    forwarder.interface().poll_worker(
        MakePoll(worker),
        [this](const PollResponse& response) { polled.push_back(response); });
  }
  // Passes time as a loop does that is not held up.
  void Pass(Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now = std::min(end, now + Duration(milliseconds(50)));
      forwarder.Flush(now);
    }
  }
  void AnswerCommand(const HostId& from, std::uint64_t id,
                     CommandOutcome outcome) {
    WorkerCallResponses responses;
    responses.commands.push_back({id, {.outcome = outcome}});
    forwarder.OnResponses(now, from, responses);
  }
  void AnswerPoll(const HostId& from, std::uint64_t id,
                  CommandOutcome outcome) {
    WorkerCallResponses responses;
    responses.polls.push_back({id, {.outcome = outcome}});
    forwarder.OnResponses(now, from, responses);
  }

  FakeWorkerCalls workers;
  PlatformInterface platform;
  bool refuse = false;
  std::vector<std::pair<HostId, WorkerCalls>> sent;
  std::vector<CommandResponse> started;
  std::vector<PollResponse> polled;
  WorkerCallForwarder forwarder;
  TimePoint now{seconds(100)};
};

TEST(WorkerCallForwarder, MakesCallsDirectlyWithoutAGateway) {
  Harness test;
  test.Start("w1");
  test.Poll("w1");
  test.forwarder.Flush(test.now);
  EXPECT_TRUE(test.sent.empty());
  EXPECT_EQ(test.workers.starts.size(), 1U);
  EXPECT_EQ(test.workers.polls.size(), 1U);
}

TEST(WorkerCallForwarder, SendsTheCallsOfOneTurnInOneMessage) {
  Harness test;
  test.SetGateways({kA});
  for (const char* worker : {"w1", "w2", "w3"}) test.Start(worker);
  test.Poll("w1");
  test.forwarder.Flush(test.now);
  ASSERT_EQ(test.sent.size(), 1U);
  const WorkerCalls& calls = test.sent.front().second;
  EXPECT_EQ(calls.starts.size(), 3U);
  EXPECT_EQ(calls.polls.size(), 1U);
  EXPECT_TRUE(test.workers.starts.empty());
  for (const ForwardedStart& each : calls.starts) {
    test.AnswerCommand(kA, each.call_id, CommandOutcome::kDone);
    test.AnswerCommand(kA, each.call_id, CommandOutcome::kNoRoom);
  }
  test.AnswerPoll(kA, calls.polls.front().call_id, CommandOutcome::kDone);
  ASSERT_EQ(test.started.size(), 3U);
  EXPECT_EQ(test.started.back().outcome, CommandOutcome::kDone);
  EXPECT_EQ(test.polled.size(), 1U);
  EXPECT_EQ(test.forwarder.outstanding(), 0U);
}

TEST(WorkerCallForwarder, CallsThatAGatewayDoesNotTakeAreMadeDirectly) {
  Harness test;
  test.SetGateways({kA});
  test.refuse = true;
  test.Start("w1");
  test.forwarder.Flush(test.now);
  EXPECT_EQ(test.workers.starts.size(), 1U);
  EXPECT_EQ(test.forwarder.outstanding(), 0U);
}

TEST(WorkerCallForwarder, AFailedPollThroughAGatewayIsRetriedDirectlyOnce) {
  for (const CommandOutcome outcome :
       {CommandOutcome::kNoResponse, CommandOutcome::kNotSent}) {
    Harness test;
    test.SetGateways({kA});
    test.Poll("w1");
    test.forwarder.Flush(test.now);
    const auto id = test.sent.front().second.polls.front().call_id;
    test.AnswerPoll(kA, id, outcome);
    EXPECT_TRUE(test.polled.empty());
    ASSERT_EQ(test.workers.polls.size(), 1U);
    EXPECT_EQ(test.workers.polls.front().first.wait, milliseconds(0));
    test.workers.polls.front().second({.outcome = CommandOutcome::kDone});
    ASSERT_EQ(test.polled.size(), 1U);
    EXPECT_EQ(test.polled.front().outcome, CommandOutcome::kDone);
  }
}

// Such a start was sent again without a look at whether its job had been
// cancelled meanwhile.
TEST(WorkerCallForwarder, AStartThatAGatewayHasNotSentIsLeftToTheDispatcher) {
  Harness test;
  test.SetGateways({kA, kB});
  test.Start("w1");
  test.forwarder.Flush(test.now);
  const HostId first = test.sent.front().first;
  const auto id = test.sent.front().second.starts.front().call_id;
  test.AnswerCommand(first, id, CommandOutcome::kNotSent);
  ASSERT_EQ(test.started.size(), 1U);
  EXPECT_EQ(test.started.front().outcome, CommandOutcome::kNoResponse);
  EXPECT_TRUE(test.workers.starts.empty());
  test.Start("w1");
  test.forwarder.Flush(test.now);
  ASSERT_EQ(test.sent.size(), 2U);
  EXPECT_NE(test.sent.back().first, first) << "by another gateway";
}

TEST(WorkerCallForwarder, AStopThatAGatewayHasNotSentIsMadeDirectly) {
  Harness test;
  test.SetGateways({kA});
  std::vector<CommandResponse> stopped;
  test.forwarder.interface().stop_run(
      StopRun{.worker = WorkerId("w1")},
      [&](const CommandResponse& response) { stopped.push_back(response); });
  test.forwarder.Flush(test.now);
  const auto id = test.sent.front().second.stops.front().call_id;
  test.AnswerCommand(kA, id, CommandOutcome::kNotSent);
  EXPECT_TRUE(stopped.empty());
  EXPECT_EQ(test.workers.stops.size(), 1U);
}

TEST(WorkerCallForwarder, CallsToASilentGatewayEndSoonerThanDirectOnes) {
  Harness test;
  test.SetGateways({kA, kB});
  test.Pass(milliseconds(200));
  test.Start("w1");
  test.Poll("w1");
  test.forwarder.Flush(test.now);
  const HostId silent = test.sent.front().first;
  test.Pass(milliseconds(350));
  ASSERT_EQ(test.started.size(), 1U);
  EXPECT_EQ(test.started.front().outcome, CommandOutcome::kNoResponse);
  EXPECT_EQ(test.workers.polls.size(), 1U);
  test.Start("w1");
  test.forwarder.Flush(test.now);
  ASSERT_EQ(test.sent.size(), 2U);
  EXPECT_NE(test.sent.back().first, silent);
}

TEST(WorkerCallForwarder, APollToASilentGatewayEndsSoonAfterItsTimeout) {
  Harness test;
  test.SetGateways({kA});
  test.Pass(milliseconds(200));
  test.Poll("w1");
  test.forwarder.Flush(test.now);
  test.Pass(milliseconds(1100));
  EXPECT_TRUE(test.workers.polls.empty());
  test.Pass(milliseconds(50));
  EXPECT_EQ(test.workers.polls.size(), 1U);
}

TEST(WorkerCallForwarder, CallsToALostGatewayEndAtOnce) {
  Harness test;
  test.SetGateways({kA});
  test.Start("w1");
  test.Poll("w1");
  test.forwarder.Flush(test.now);
  test.SetGateways({});
  ASSERT_EQ(test.started.size(), 1U);
  EXPECT_EQ(test.started.front().outcome, CommandOutcome::kNoResponse);
  EXPECT_EQ(test.workers.polls.size(), 1U);
  EXPECT_EQ(test.forwarder.outstanding(), 0U);
}

TEST(WorkerCallForwarder, CallsOfAnEndedDispatcherAreNotMadeAgain) {
  Harness test;
  test.SetGateways({kA});
  test.Start("w1");
  test.Poll("w1");
  test.forwarder.Flush(test.now);
  test.Start("w2");
  test.Poll("w2");
  test.forwarder.DropAll();
  test.SetGateways({});
  test.Pass(seconds(3));
  EXPECT_EQ(test.sent.size(), 1U);
  EXPECT_TRUE(test.workers.starts.empty());
  EXPECT_TRUE(test.workers.polls.empty());
  EXPECT_EQ(test.started.size(), 2U);
  EXPECT_EQ(test.polled.size(), 2U);
  EXPECT_EQ(test.forwarder.outstanding(), 0U);
}

TEST(WorkerCallForwarder, LateResponsesToDroppedCallsAreIgnored) {
  Harness test;
  test.SetGateways({kA});
  test.Start("w1");
  test.Poll("w1");
  test.forwarder.Flush(test.now);
  test.forwarder.DropAll();
  const WorkerCalls& calls = test.sent.front().second;
  test.AnswerCommand(kA, calls.starts.front().call_id,
                     CommandOutcome::kNotSent);
  test.AnswerPoll(kA, calls.polls.front().call_id, CommandOutcome::kNotSent);
  EXPECT_TRUE(test.workers.starts.empty());
  EXPECT_TRUE(test.workers.polls.empty());
  EXPECT_EQ(test.started.size(), 1U);
  EXPECT_EQ(test.polled.size(), 1U);
}

// A gateway addresses a host by its name. Its response to the process before
// was taken for that of another worker, whose runs then counted as lost
// (TWICE).
TEST(WorkerCallForwarder, ResponsesToTheProcessBeforeAreIgnored) {
  Harness before(/*incarnation=*/1'780'000'000'000);
  before.SetGateways({kA});
  before.Poll("w1");
  before.Start("w1");
  before.forwarder.Flush(before.now);
  const WorkerCalls& late = before.sent.front().second;
  Harness test(/*incarnation=*/1'780'000'000'001);
  test.SetGateways({kA});
  test.Poll("w2");
  test.Start("w2");
  test.forwarder.Flush(test.now);
  test.AnswerPoll(kA, late.polls.front().call_id, CommandOutcome::kDone);
  test.AnswerCommand(kA, late.starts.front().call_id, CommandOutcome::kDone);
  EXPECT_TRUE(test.polled.empty());
  EXPECT_TRUE(test.started.empty());
  EXPECT_EQ(test.forwarder.outstanding(), 2U);
}

struct StartForGateway {
  milliseconds incarnation;
  bool gateway_takes_it;
  bool forwarded;
};

class StartForGatewayTest : public testing::TestWithParam<StartForGateway> {};

// An older build sends a start to whichever incarnation answers.
TEST_P(StartForGatewayTest, AStartOfAnIncarnationGoesToNoOlderGateway) {
  Harness test;
  GatewayOption gateway{kA, ZoneId("z")};
  gateway.takes_start_incarnations = GetParam().gateway_takes_it;
  test.forwarder.SetGateways({gateway});
  StartRun start = MakeStart("w1");
  start.incarnation_start = GetParam().incarnation;
  test.forwarder.interface().start_run(start, [](const CommandResponse&) {});
  test.forwarder.Flush(test.now);
  EXPECT_EQ(test.sent.size(), GetParam().forwarded ? 1U : 0U);
  EXPECT_EQ(test.workers.starts.size(), GetParam().forwarded ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Builds, StartForGatewayTest,
    testing::Values(StartForGateway{milliseconds(0), false, true},
                    StartForGateway{milliseconds(1000), false, false},
                    StartForGateway{milliseconds(1000), true, true}));

TEST(WorkerCallForwarder, APauseOfThisHostIsNotBlamedOnTheGateways) {
  Harness test;
  test.SetGateways({kA});
  test.Pass(milliseconds(200));
  test.Start("w1");
  test.forwarder.Flush(test.now);
  const auto id = test.sent.front().second.starts.front().call_id;
  test.now += milliseconds(400);
  test.forwarder.Flush(test.now);
  EXPECT_TRUE(test.started.empty());
  test.AnswerCommand(kA, id, CommandOutcome::kDone);
  test.Start("w1");
  test.forwarder.Flush(test.now);
  EXPECT_EQ(test.sent.size(), 2U);
  EXPECT_EQ(test.started.size(), 1U);
}

// Random schedules of calls, responses, doubled and foreign responses, lost
// messages, refusals, pauses, gateways that come and go, and ended dispatchers:
// each call ends exactly once.
RC_GTEST_PROP(WorkerCallForwarder, EachCallEndsExactlyOnce, ()) {
  Harness test;
  const std::vector<std::vector<HostId>> hosts = {{}, {kA}, {kB}, {kA, kB}};
  std::vector<int> ends;
  const auto add = [&ends] {
    ends.push_back(0);
    return ends.size() - 1;
  };
  for (int step = *rc::gen::inRange(1, 80); step > 0; --step) {
    const std::string worker = "w" + std::to_string(*rc::gen::inRange(0, 4));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        test.forwarder.interface().start_run(
            MakeStart(worker),
            [&ends, i = add()](const CommandResponse&) { ++ends[i]; });
        break;
      case 1:
        test.forwarder.interface().poll_worker(
            MakePoll(worker),
            [&ends, i = add()](const PollResponse&) { ++ends[i]; });
        break;
      case 2:
        test.SetGateways(*rc::gen::elementOf(hosts));
        break;
      case 3:
        test.refuse = !test.refuse;
        break;
      case 4:
        if (!test.sent.empty()) {
          const auto at = *rc::gen::inRange<std::size_t>(0, test.sent.size());
          const auto from = *rc::gen::element(test.sent[at].first, kA);
          const auto outcome =
              *rc::gen::element(CommandOutcome::kDone, CommandOutcome::kNotSent,
                                CommandOutcome::kNoResponse);
          for (const auto& each : test.sent[at].second.starts)
            test.AnswerCommand(from, each.call_id, outcome);
          for (const auto& each : test.sent[at].second.polls)
            test.AnswerPoll(from, each.call_id, outcome);
        }
        break;
      case 5:
        test.forwarder.DropAll();
        break;
      default:
        test.now += milliseconds(*rc::gen::inRange(0, 500));
        test.forwarder.Flush(test.now);
    }
  }
  test.Pass(seconds(3));
  for (auto& [command, done] : test.workers.starts) done(CommandResponse{});
  for (auto& [command, done] : test.workers.polls) done(PollResponse{});
  RC_ASSERT(test.forwarder.outstanding() == 0U);
  for (const int each : ends) RC_ASSERT(each == 1);
}

}  // namespace
}  // namespace chivewing
