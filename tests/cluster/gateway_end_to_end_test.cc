// End to end in one process: two entry hosts, a stand-in of the platform's
// store and of a worker. The dispatching host calls the worker through the
// other host.

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cluster/cluster_host.h"
#include "cluster/small_day.h"
#include "platform/platform_client.h"
#include "standins/blocking_http.h"
#include "standins/free_ports.h"
#include "standins/store_standin.h"
#include "standins/task_runner_standin.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using small_day::kDesiredState;
using small_day::kJob;
using small_day::kTasksPerJob;
using small_day::WaitFor;

// An entry host that counts the calls which it makes to workers. A start that
// ends as unverified has not been sent.
class CountingHost {
 public:
  CountingHost(const std::string& name, const StoreStandin& store,
               const std::vector<std::uint16_t>& ports)
      : client_(store.address(), ""), platform_(client_.interface()) {
    const PlatformInterface& real = client_.interface();
    platform_.start_run = [this, &real](const auto& command, auto done) {
      ++starts;
      real.start_run(command, [this, done](const CommandResponse& response) {
        if (response.outcome == CommandOutcome::kUnverified) --starts;
        done(response);
      });
    };
    platform_.poll_worker = [this, &real](const auto& command, auto done) {
      ++polls;
      real.poll_worker(command, std::move(done));
    };
    ClusterSettings settings;
    settings.host = HostId(name);
    settings.zone = ZoneId("z1");
    const auto address = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    settings.caller_address = address(ports[0]);
    settings.ready_address = address(ports[1]);
    settings.peer_address = address(ports[2]);
    caller_url_ = "http://" + settings.caller_address;
    ready_url_ = "http://" + settings.ready_address + "/ready";
    host_ = std::make_unique<ClusterHost>(settings, platform_);
    started_ = static_cast<bool>(host_->Start());
  }
  ~CountingHost() { Stop(); }
  CountingHost(const CountingHost&) = delete;
  CountingHost& operator=(const CountingHost&) = delete;

  void Stop() {
    if (host_) host_->Stop();
    client_.Stop();
    host_.reset();
  }
  bool IsReady() const { return started_ && Get(ready_url_).status == 200; }
  bool Runs(const std::string& job) {
    const std::string url = caller_url_ + "/jobs/" + job;
    const std::vector<HttpHeader> headers = {{"Host", "desk.example"}};
    if (Call("POST", url, kJob, headers).status != 200) return false;
    return WaitFor([&] {
      return Call("GET", url, "", headers).body == R"({"state":"completed"})";
    });
  }

  std::atomic<std::size_t> starts{0};
  std::atomic<std::size_t> polls{0};

 private:
  wire::PlatformClient client_;
  PlatformInterface platform_;
  std::unique_ptr<ClusterHost> host_;
  std::string caller_url_;
  std::string ready_url_;
  bool started_ = false;
};

TEST(GatewayEndToEnd, CallsPassThroughTheOtherHostAndGoOnWithoutIt) {
  const std::vector<std::uint16_t> ports = FreePorts(6);
  StoreStandin store;
  TaskRunnerStandin worker{"i-1"};
  store.Put("op", "", "config", kDesiredState);
  store.Put("servers", "", "i-1", worker.Registration("pool"));
  CountingHost dispatching("h1", store, {ports[0], ports[1], ports[2]});
  ASSERT_TRUE(WaitFor([&] { return dispatching.polls > 0; }));
  CountingHost gateway("h2", store, {ports[3], ports[4], ports[5]});
  ASSERT_TRUE(WaitFor([&] { return dispatching.IsReady(); }));
  ASSERT_TRUE(WaitFor([&] { return gateway.IsReady(); }));
  ASSERT_TRUE(WaitFor([&] { return gateway.polls > 0; }));
  EXPECT_TRUE(dispatching.Runs("aaaaaaaaaaaaaaaa"));
  EXPECT_EQ(gateway.starts, kTasksPerJob);
  EXPECT_EQ(dispatching.starts, 0U);
  gateway.Stop();
  EXPECT_TRUE(dispatching.Runs("bbbbbbbbbbbbbbbb"));
  EXPECT_EQ(worker.starts(), 2 * kTasksPerJob);
  EXPECT_EQ(worker.max_concurrent_runs(), 1U);
}

}  // namespace
}  // namespace chivewing
