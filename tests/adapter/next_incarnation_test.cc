// Polls and starts that were meant for an earlier incarnation of a worker.

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster/verified_starts.h"
#include "http/http_server.h"
#include "platform/platform_client.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirst{1000};
constexpr milliseconds kSecond{2000};
constexpr milliseconds kLease{6000};
constexpr std::uint64_t kEnds = 57;
constexpr int kManyStarts = 40;

// A worker that can start again at its address under its id.
class RestartingWorker {
 public:
  RestartingWorker() { Start("127.0.0.1:0", kFirst); }

  void Restart(milliseconds incarnation_start) {
    const std::string address = this->address();
    server_->Stop();
    Start(address, incarnation_start);
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_->port());
  }
  // What the polls of the present incarnation let it discard.
  std::vector<std::uint64_t> discarded() const {
    const std::lock_guard lock(mutex_);
    return discarded_;
  }
  // The leases that they give it, and the runs that it is told to start.
  std::size_t leases() const {
    const std::lock_guard lock(mutex_);
    return leases_;
  }
  std::size_t starts() const {
    const std::lock_guard lock(mutex_);
    return starts_;
  }

 private:
  void Start(const std::string& address, milliseconds incarnation_start) {
    server_ =
        std::make_unique<HttpServer>(HttpServerOptions{.address = address});
    {
      const std::lock_guard lock(mutex_);
      discarded_.clear();
      leases_ = 0;
      starts_ = 0;
    }
    const bool started = static_cast<bool>(server_->Start(
        [this, incarnation_start](const HttpServerRequest& request) {
          const auto body = nlohmann::json::parse(request.body);
          OnCall(request.path, body);
          const nlohmann::json reply = {{"clockMs", 1},
                                        {"born", incarnation_start.count()},
                                        {"running", nlohmann::json::array()},
                                        {"ended", nlohmann::json::array()}};
          server_->Respond(request.id, {.body = reply.dump()});
        }));
    ASSERT_TRUE(started);
  }

  void OnCall(const std::string& path, const nlohmann::json& body) {
    const std::lock_guard lock(mutex_);
    if (path == "/run-start") ++starts_;
    if (path != "/hold") return;
    discarded_.push_back(body["lastSeen"]);
    if (body.contains("deadlineMs")) ++leases_;
  }

  mutable std::mutex mutex_;
  std::vector<std::uint64_t> discarded_;
  std::size_t leases_ = 0;
  std::size_t starts_ = 0;
  std::unique_ptr<HttpServer> server_;
};

class NextIncarnationTest : public testing::Test {
 protected:
  void TearDown() override { platform_.Stop(); }

  // Returns what the response says of the incarnation.
  milliseconds Poll(std::uint64_t persisted_end, milliseconds incarnation) {
    std::promise<PollResponse> response;
    PollWorker poll;
    poll.worker = WorkerId("w");
    poll.address = worker_.address();
    poll.persisted_end = persisted_end;
    poll.incarnation_start = incarnation;
    if (incarnation.count() > 0) poll.deadline = kLease;
    platform_.interface().poll_worker(
        poll,
        [&response](const PollResponse& each) { response.set_value(each); });
    return response.get_future().get().incarnation_start;
  }

  std::future<CommandOutcome> BeginStart(milliseconds incarnation,
                                         bool fresh_connection = false) {
    const auto outcome = std::make_shared<std::promise<CommandOutcome>>();
    StartRun start;
    start.worker = WorkerId("w");
    start.address = worker_.address();
    start.incarnation_start = incarnation;
    start.fresh_connection = fresh_connection;
    starts_.start_run(start, [outcome](const CommandResponse& response) {
      outcome->set_value(response.outcome);
    });
    return outcome->get_future();
  }
  CommandOutcome Start(milliseconds incarnation,
                       bool fresh_connection = false) {
    return BeginStart(incarnation, fresh_connection).get();
  }

  RestartingWorker worker_;
  wire::PlatformClient platform_{"127.0.0.1:9", ""};
  const PlatformInterface starts_ = WithVerifiedStarts(platform_.interface());
};

TEST_F(NextIncarnationTest, AWorkerDiscardsEndsOnceItHasAnswered) {
  EXPECT_EQ(Poll(kEnds, kFirst), kFirst);
  EXPECT_EQ(Poll(kEnds, kFirst), kFirst);
  EXPECT_EQ(worker_.discarded(), (std::vector<std::uint64_t>{0, kEnds}));
}

// A poll that had waited at a paused host made the next incarnation of the
// worker discard ends that nobody had read: their tasks ran again (TWICE).
TEST_F(NextIncarnationTest, TheNextIncarnationDiscardsNoEnds) {
  Poll(0, kFirst);
  Poll(kEnds, kFirst);
  worker_.Restart(kSecond);
  for (int i = 0; i < 3; ++i) Poll(kEnds, kFirst);
  for (const std::uint64_t each : worker_.discarded()) EXPECT_EQ(each, 0U);
  EXPECT_EQ(Poll(kEnds, kSecond), kSecond);
  EXPECT_EQ(worker_.discarded().back(), kEnds);
}

TEST_F(NextIncarnationTest, TheNextIncarnationIsGivenNoLease) {
  Poll(0, kFirst);
  Poll(0, kFirst);
  EXPECT_EQ(worker_.leases(), 1U) << "by the second poll";
  worker_.Restart(kSecond);
  for (int i = 0; i < 3; ++i) Poll(0, kFirst);
  EXPECT_EQ(worker_.leases(), 0U);
}

TEST_F(NextIncarnationTest, AStartReachesTheIncarnationThatItIsMeantFor) {
  for (const bool fresh_connection : {false, true, false}) {
    EXPECT_EQ(Start(kFirst, fresh_connection), CommandOutcome::kDone);
  }
  EXPECT_EQ(worker_.starts(), 3U);
}

// More at once than there may be connections.
TEST_F(NextIncarnationTest, ManyStartsAtOnceReachTheIncarnation) {
  std::vector<std::future<CommandOutcome>> outcomes;
  outcomes.reserve(kManyStarts);
  for (int i = 0; i < kManyStarts; ++i) outcomes.push_back(BeginStart(kFirst));
  std::size_t done = 0;
  for (auto& each : outcomes) {
    if (each.get() == CommandOutcome::kDone) ++done;
  }
  EXPECT_EQ(worker_.starts(), done);
  EXPECT_EQ(done, static_cast<std::size_t>(kManyStarts));
}

// A start that had waited at a paused host was carried out by the next
// incarnation of the worker, though its task was done (TWICE).
TEST_F(NextIncarnationTest, TheNextIncarnationStartsNothingOfTheFirst) {
  EXPECT_EQ(Start(kFirst), CommandOutcome::kDone);
  worker_.Restart(kSecond);
  for (const bool fresh_connection : {false, true, false}) {
    EXPECT_EQ(Start(kFirst, fresh_connection), CommandOutcome::kNotSent);
  }
  EXPECT_EQ(worker_.starts(), 0U);
  EXPECT_EQ(Start(kSecond), CommandOutcome::kDone);
  EXPECT_EQ(worker_.starts(), 1U);
}

}  // namespace
}  // namespace chivewing
