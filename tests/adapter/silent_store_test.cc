// Following the desired state over connections that go silent.

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include "cluster/desired_state_watcher.h"
#include "cluster/small_day.h"
#include "entry/event_loop_thread.h"
#include "platform/platform_client.h"
#include "standins/silencing_proxy.h"
#include "standins/store_standin.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A host counts as calm this long after the end of a disruption.
constexpr seconds kCalmAfter{3};

// A watcher on an event loop of its own.
class Follower {
 public:
  explicit Follower(const PlatformInterface& platform)
      : watcher_(platform, [this](auto run) { loop_.Post({std::move(run)}); }) {
    loop_.Start([] { return BootClock::now(); },
                [this](TimePoint now, std::vector<Event>& events) {
                  for (Event& event : events) event.run(now);
                  version_ = watcher_.cache().state().version;
                  return watcher_.Tick(now);
                });
  }
  std::uint64_t version() const { return version_; }
  void Stop() { loop_.Stop(); }

 private:
  struct Event {
    std::function<void(TimePoint)> run{};
  };

  std::atomic<std::uint64_t> version_{0};
  EventLoopThread<Event> loop_{1024};
  DesiredStateWatcher watcher_;
};

class SilentStoreTest : public testing::TestWithParam<int> {
 protected:
  void PutVersion(int version) {
    store_.Put("op", "", "config",
               R"({"version":)" + std::to_string(version) +
                   R"(,"routes":[],"services":[]})");
  }
  // Leaves so many idle connections to the store in the client.
  void OpenIdleConnections(int count) {
    std::vector<std::future<void>> reads;
    for (int i = 0; i < count; ++i) {
      auto done = std::make_shared<std::promise<void>>();
      reads.push_back(done->get_future());
      platform_.interface().table.read(
          "job/a", [done](const ReadResponse&) { done->set_value(); });
    }
    for (auto& read : reads) read.get();
  }

  StoreStandin store_;
  SilencingProxy proxy_{store_.port()};
  wire::PlatformClient platform_{proxy_.address(), ""};
};

TEST_P(SilentStoreTest, AVersionIsKnownBeforeTheHostCountsAsCalm) {
  PutVersion(1);
  Follower follower(platform_.interface());
  ASSERT_TRUE(small_day::WaitFor([&] { return follower.version() == 1; }));
  OpenIdleConnections(GetParam());
  proxy_.SilenceOpenConnections();
  const TimePoint silent_at = BootClock::now();
  PutVersion(2);
  EXPECT_TRUE(small_day::WaitFor([&] { return follower.version() == 2; }));
  EXPECT_LT(BootClock::now(), silent_at + kCalmAfter);
  platform_.Stop();
  follower.Stop();
}

INSTANTIATE_TEST_SUITE_P(IdleConnections, SilentStoreTest,
                         testing::Values(0, 2, 5));

}  // namespace
}  // namespace chivewing
