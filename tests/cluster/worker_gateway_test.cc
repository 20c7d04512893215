#include "cluster/worker_gateway.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cluster/fake_worker_calls.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId kDispatcher("d");

class WorkerGatewayTest : public testing::Test {
 protected:
  WorkerGatewayTest()
      : platform_(workers_.interface()),
        gateway_(platform_,
                 {.post = [this](auto run) { run(now_); },
                  .send =
                      [this](const HostId& to, const PeerMessage& message) {
                        EXPECT_EQ(to, kDispatcher);
                        sent_.push_back(std::get<WorkerCallResponses>(message));
                        return true;
                      }}) {}

  static WorkerCalls OneOfEach() {
    WorkerCalls out;
    out.starts.push_back({1, milliseconds(600), {}});
    out.stops.push_back({2, milliseconds(600), {}});
    out.paces.push_back({3, milliseconds(600), {}});
    out.polls.push_back({4, milliseconds(1000), {}});
    return out;
  }

  FakeWorkerCalls workers_;
  PlatformInterface platform_;
  std::vector<WorkerCallResponses> sent_;
  TimePoint now_{seconds(100)};
  WorkerGateway gateway_;
};

TEST_F(WorkerGatewayTest, MakesTheCallsAndGathersTheResponses) {
  gateway_.OnCalls(now_, now_, kDispatcher, OneOfEach());
  ASSERT_EQ(workers_.starts.size(), 1U);
  ASSERT_EQ(workers_.stops.size(), 1U);
  ASSERT_EQ(workers_.paces.size(), 1U);
  ASSERT_EQ(workers_.polls.size(), 1U);
  CommandResponse done{.outcome = CommandOutcome::kDone};
  done.clock = milliseconds(7);
  workers_.starts.front().second(done);
  workers_.stops.front().second(done);
  workers_.paces.front().second(done);
  workers_.polls.front().second({.outcome = CommandOutcome::kFenced});
  const TimePoint due = gateway_.Tick(now_);
  EXPECT_TRUE(sent_.empty());
  EXPECT_LE(due, now_ + milliseconds(5));
  gateway_.Tick(due);
  ASSERT_EQ(sent_.size(), 1U);
  ASSERT_EQ(sent_.front().commands.size(), 3U);
  EXPECT_EQ(sent_.front().commands.front().response.clock, milliseconds(7));
  ASSERT_EQ(sent_.front().polls.size(), 1U);
  EXPECT_EQ(sent_.front().polls.front().response.outcome,
            CommandOutcome::kFenced);
  EXPECT_EQ(gateway_.Tick(due), TimePoint::max());
}

TEST_F(WorkerGatewayTest, ACallThatHasWaitedForItsTimeLimitIsNotSent) {
  gateway_.OnCalls(now_, now_ - milliseconds(600), kDispatcher, OneOfEach());
  EXPECT_TRUE(workers_.starts.empty());
  EXPECT_TRUE(workers_.stops.empty());
  EXPECT_TRUE(workers_.paces.empty());
  EXPECT_EQ(workers_.polls.size(), 1U);
  gateway_.Tick(now_ + seconds(1));
  ASSERT_EQ(sent_.size(), 1U);
  ASSERT_EQ(sent_.front().commands.size(), 3U);
  for (const ForwardedCommandResponse& each : sent_.front().commands) {
    EXPECT_EQ(each.response.outcome, CommandOutcome::kNotSent);
  }
}

TEST_F(WorkerGatewayTest, ManyResponsesAreSplitIntoMessages) {
  WorkerCalls calls;
  for (std::uint64_t id = 1; id <= 120; ++id) {
    calls.polls.push_back({id, milliseconds(1000), {}});
  }
  gateway_.OnCalls(now_, now_, kDispatcher, calls);
  for (auto& [poll, done] : workers_.polls) done(PollResponse{});
  gateway_.Tick(now_ + seconds(1));
  std::size_t polls = 0;
  for (const WorkerCallResponses& each : sent_) {
    polls += each.polls.size();
    EXPECT_LE(each.polls.size(), 50U);
  }
  EXPECT_EQ(polls, 120U);
}

}  // namespace
}  // namespace chivewing
