// How many connections one entry host opens to a worker.

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <vector>

#include "http/http_server.h"
#include "platform/platform_client.h"

namespace chivewing {
namespace {

// A worker takes 64 connections from all hosts together. Hosts that have called
// it keep theirs for a while: with this many of each, eight hosts fit twice.
constexpr std::size_t kMostPerHost = 4;
constexpr std::size_t kStarts = 48;
constexpr std::size_t kFreshPolls = 20;

class WorkerConnectionsTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(worker_.Start([this](const HttpServerRequest& request) {
      worker_.Respond(request.id,
                      {.body = R"({"clockMs":1,"running":[],"ended":[]})"});
    }));
    address_ = "127.0.0.1:" + std::to_string(worker_.port());
  }
  void TearDown() override { platform_.Stop(); }

  HttpServer worker_{{}};
  std::string address_;
  wire::PlatformClient platform_{"127.0.0.1:9", ""};
};

// One host filled the worker with idle connections; after the dispatching host
// had changed, starts through another one waited, and gangs ended alone
// (review case 4, GANG).
TEST_F(WorkerConnectionsTest, ManyStartsAtOnceOpenFewConnections) {
  std::vector<std::future<CommandOutcome>> outcomes;
  for (std::size_t i = 0; i < kStarts; ++i) {
    auto outcome = std::make_shared<std::promise<CommandOutcome>>();
    outcomes.push_back(outcome->get_future());
    StartRun start;
    start.worker = WorkerId("w");
    start.address = address_;
    start.run = {{JobId("5c0e7a21d94b36f8"), 0, 0, i}, 1};
    platform_.interface().start_run(start,
                                    [outcome](const CommandResponse& response) {
                                      outcome->set_value(response.outcome);
                                    });
  }
  for (auto& outcome : outcomes)
    EXPECT_EQ(outcome.get(), CommandOutcome::kDone);
  EXPECT_LE(worker_.counts().peak_connections, kMostPerHost);
}

// Polls of a worker that may have restarted go over new connections; the old
// ones stayed open.
TEST_F(WorkerConnectionsTest, PollsOverNewConnectionsLeaveFewOpen) {
  for (std::size_t i = 0; i < kFreshPolls; ++i) {
    std::promise<CommandOutcome> outcome;
    PollWorker poll;
    poll.worker = WorkerId("w");
    poll.address = address_;
    poll.fresh_connection = true;
    platform_.interface().poll_worker(poll,
                                      [&outcome](const PollResponse& response) {
                                        outcome.set_value(response.outcome);
                                      });
    EXPECT_EQ(outcome.get_future().get(), CommandOutcome::kDone);
  }
  EXPECT_GE(worker_.counts().connections, kFreshPolls);
  // A connection may be closed here and not yet be seen as closed there.
  EXPECT_LE(worker_.counts().peak_connections, kMostPerHost + 1);
}

}  // namespace
}  // namespace chivewing
