// End to end in one process: entry hosts, a stand-in of the platform's store
// and of a worker.

#include "cluster/cluster_host.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

#include "cluster/host_row.h"
#include "cluster/small_day.h"
#include "peer/peer_mesh.h"
#include "platform/platform_client.h"
#include "platform/store_codec.h"
#include "standins/blocking_http.h"
#include "standins/free_ports.h"
#include "standins/silencing_proxy.h"
#include "standins/store_standin.h"
#include "standins/task_runner_standin.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using small_day::kDesiredState;
using small_day::kJob;
using small_day::WaitFor;

// A host counts as calm this long after the end of a disruption.
constexpr seconds kCalmAfter{3};

// An entry host with its own platform clients.
struct Host {
  Host(
      const std::string& name, const StoreStandin& store,
      const std::vector<std::uint16_t>& ports,
      const std::function<void(PlatformInterface&)>& change = [](auto&) {})
      : Host(name, store.address(), ports, change) {}
  Host(
      const std::string& name, const std::string& store_address,
      const std::vector<std::uint16_t>& ports,
      const std::function<void(PlatformInterface&)>& change = [](auto&) {})
      : platform(store_address, ""), calls(platform.interface()) {
    change(calls);
    ClusterSettings settings;
    settings.host = HostId(name);
    settings.zone = ZoneId("z1");
    const auto address = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    settings.caller_address = address(ports[0]);
    settings.ready_address = address(ports[1]);
    settings.peer_address = address(ports[2]);
    settings.metrics_address = address(ports[3]);
    metrics_url = "http://" + settings.metrics_address + "/metrics";
    caller_url = "http://" + settings.caller_address;
    ready_url = "http://" + settings.ready_address + "/ready";
    host = std::make_unique<ClusterHost>(settings, calls);
    started = static_cast<bool>(host->Start());
  }
  ~Host() { Stop(); }
  void Stop() {
    if (host) host->Stop();
    platform.Stop();
    host.reset();
  }
  int Call(const std::string& method, const std::string& job,
           const std::string& body = "") {
    return CallPath(method, "/jobs/" + job, body);
  }
  int CallPath(const std::string& method, const std::string& path,
               const std::string& body = "") {
    return chivewing::Call(method, caller_url + path, body,
                           {{"Host", "desk.example"}})
        .status;
  }
  // Leaves so many idle connections to the store.
  void OpenStoreConnections(int count) {
    std::vector<std::promise<void>> done(static_cast<std::size_t>(count));
    for (auto& read : done) {
      calls.table.read("job/a",
                       [&read](const ReadResponse&) { read.set_value(); });
    }
    for (auto& read : done) read.get_future().get();
  }
  std::string StateOf(const std::string& job) {
    return chivewing::Call("GET", caller_url + "/jobs/" + job, "",
                           {{"Host", "desk.example"}})
        .body;
  }

  wire::PlatformClient platform;
  PlatformInterface calls;
  std::unique_ptr<ClusterHost> host;
  std::string caller_url;
  std::string ready_url;
  std::string metrics_url;
  bool started = false;
};

class ClusterHostTest : public testing::Test {
 protected:
  ClusterHostTest() {
    store_.Put("op", "", "config", kDesiredState);
    store_.Put("servers", "", "i-1", worker_.Registration("pool"));
  }

  const std::vector<std::uint16_t> ports_ = FreePorts(8);
  StoreStandin store_;
  TaskRunnerStandin worker_{"i-1"};
};

TEST_F(ClusterHostTest, StoresAJobRunsItsStepsAndReportsCompletion) {
  Host host("h1", store_, {ports_[0], ports_[1], ports_[2], ports_[6]});
  ASSERT_TRUE(host.started);
  ASSERT_TRUE(WaitFor([&] { return Get(host.ready_url).status == 200; }));
  const std::string job = "5c0e7a21d94b36f8";
  EXPECT_EQ(host.Call("POST", job, kJob), 200);
  EXPECT_EQ(host.Call("POST", job, kJob), 200);
  EXPECT_TRUE(
      WaitFor([&] { return host.StateOf(job) == R"({"state":"completed"})"; }));
  EXPECT_EQ(worker_.starts(), 5U);
  EXPECT_EQ(worker_.max_concurrent_runs(), 1U);
  const std::string metrics = Get(host.metrics_url).body;
  for (const char* line :
       {"chivewing_dispatching 1", "chivewing_starts_total 5",
        "chivewing_runs_done_total 5", "chivewing_first_start_seconds_count 1",
        "chivewing_invariant_breaches_total 0",
        "chivewing_unlisted_runs_total 0", "chivewing_late_rows_total 0",
        "chivewing_ends_of_done_tasks_total 0",
        "chivewing_ends_after_their_job_total 0",
        "chivewing_ends_of_unknown_tasks_total 0",
        R"(chivewing_adopted_runs_stopped_total{reason="task_done"} 0)",
        "chivewing_ends_of_restarted_tasks_total 0"}) {
    EXPECT_NE(metrics.find(line), std::string::npos) << line << "\n" << metrics;
  }
  EXPECT_EQ(host.Call("GET", "0000000000000000"), 410);
  EXPECT_EQ(host.Call("POST", "nonsense", kJob), 400);
  EXPECT_EQ(host.Call("POST", "1111111111111111", "{"), 400);
}

// An entry of another writer beside that of a worker.
struct ForeignEntry {
  std::string name{};
  std::string key{};
  std::string changes{};  // to the worker's entry; a null removes a member
};

class ForeignEntryTest : public ClusterHostTest,
                         public testing::WithParamInterface<ForeignEntry> {
 protected:
  void PutEntry() {
    const std::string own = worker_.Registration("pool");
    nlohmann::json entry = nlohmann::json::parse(own);
    entry.merge_patch(nlohmann::json::parse(GetParam().changes));
    store_.Put("servers", "", GetParam().key, entry.dump());
  }
  // Runs a job on a host, with the entry there before its start or after.
  void RunJobBesideTheEntry(bool entry_first) {
    if (entry_first) PutEntry();
    Host host("h1", store_, {ports_[0], ports_[1], ports_[2], ports_[6]});
    ASSERT_TRUE(WaitFor([&] { return Get(host.ready_url).status == 200; }));
    const std::string first = "5c0e7a21d94b36f8";
    const std::string second = "6c0e7a21d94b36f8";
    EXPECT_EQ(host.Call("POST", first, kJob), 200);
    const auto completes = [&](const std::string& job) {
      return WaitFor(
          [&] { return host.StateOf(job) == R"({"state":"completed"})"; });
    };
    EXPECT_TRUE(completes(first));
    if (!entry_first) PutEntry();
    EXPECT_EQ(host.Call("POST", second, kJob), 200);
    EXPECT_TRUE(completes(second));
    EXPECT_EQ(worker_.starts(), 10U);
    EXPECT_LT(store_.rejected_transactions, 20U);
  }
};

// One entry of another writer kept all jobs from running, or from being seen to
// have run (review case 7, LOST).
TEST_P(ForeignEntryTest, ThatIsThereFirstKeepsNoJobFromRunning) {
  RunJobBesideTheEntry(true);
}

TEST_P(ForeignEntryTest, ThatComesLateKeepsNoJobFromRunning) {
  RunJobBesideTheEntry(false);
}

INSTANTIATE_TEST_SUITE_P(
    Entries, ForeignEntryTest,
    testing::Values(
        ForeignEntry{"LongKeyOfAnUnnamedService", std::string(200, 'x'),
                     R"({"service":"billing","addr":"127.0.0.1:9"})"},
        ForeignEntry{"LongKeyOfANamedService", std::string(200, 'x'),
                     R"({"addr":"127.0.0.1:9"})"},
        ForeignEntry{"TheWorkersAddress", "foreign",
                     R"({"service":"billing","born":2000})"},
        ForeignEntry{"TheWorkersAddressOfANamedService", "foreign",
                     R"({"born":2000})"},
        ForeignEntry{"TheWorkersAddressWithoutSlots", "foreign",
                     R"({"slots":null,"born":2000})"},
        ForeignEntry{"LineBreaksInTheKey", "a\r\nb/%2F\"'",
                     R"({"addr":"127.0.0.1:9"})"}),
    [](const auto& info) { return info.param.name; });

TEST_F(ClusterHostTest, ASecondHostTakesOverAndFinishes) {
  auto first = std::make_unique<Host>(
      "h1", store_,
      std::vector<std::uint16_t>{ports_[0], ports_[1], ports_[2], ports_[6]});
  Host second("h2", store_, {ports_[3], ports_[4], ports_[5], ports_[7]});
  ASSERT_TRUE(first->started && second.started);
  ASSERT_TRUE(WaitFor([&] { return Get(second.ready_url).status == 200; }));
  EXPECT_EQ(second.Call("POST", "aaaaaaaaaaaaaaaa", kJob), 200);
  first.reset();
  EXPECT_EQ(second.Call("POST", "bbbbbbbbbbbbbbbb", kJob), 200);
  for (const char* job : {"aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb"}) {
    EXPECT_TRUE(WaitFor([&] {
      return second.StateOf(job) == R"({"state":"completed"})";
    })) << job;
  }
  EXPECT_EQ(worker_.starts(), 10U);
  EXPECT_EQ(worker_.max_concurrent_runs(), 1U);
}

TEST_F(ClusterHostTest, TheLeaseStaysWithAHostWhoseLoopIsLate) {
  const auto slow = [](PlatformInterface& calls) {
    calls.decode_job = [decode = calls.decode_job](const std::string& body) {
      std::this_thread::sleep_for(seconds(2));
      return decode(body);
    };
  };
  Host first("h1", store_, {ports_[0], ports_[1], ports_[2], ports_[6]}, slow);
  ASSERT_TRUE(WaitFor([&] {
    return Get(first.metrics_url).body.find("chivewing_dispatching 1") !=
           std::string::npos;
  }));
  Host second("h2", store_, {ports_[3], ports_[4], ports_[5], ports_[7]});
  ASSERT_TRUE(WaitFor([&] { return Get(second.ready_url).status == 200; }));
  std::thread caller([&] { first.Call("POST", "dddddddddddddddd", kJob); });
  EXPECT_TRUE(WaitFor([&] {
    const std::string metrics = Get(second.metrics_url).body;
    EXPECT_NE(metrics.find("chivewing_dispatching 0"), std::string::npos);
    return second.StateOf("dddddddddddddddd") == R"({"state":"completed"})";
  }));
  caller.join();
  EXPECT_EQ(worker_.starts(), 5U);
}

// The thread that renews the lease goes on when the loop that decides hangs.
TEST_F(ClusterHostTest, AHostWhoseLoopHangsLosesTheLease) {
  const auto hanging = [](PlatformInterface& calls) {
    calls.decode_job = [decode = calls.decode_job](const std::string& body) {
      std::this_thread::sleep_for(seconds(9));
      return decode(body);
    };
  };
  Host first("h1", store_, {ports_[0], ports_[1], ports_[2], ports_[6]},
             hanging);
  ASSERT_TRUE(WaitFor([&] {
    return Get(first.metrics_url).body.find("chivewing_dispatching 1") !=
           std::string::npos;
  }));
  Host second("h2", store_, {ports_[3], ports_[4], ports_[5], ports_[7]});
  ASSERT_TRUE(WaitFor([&] { return Get(second.ready_url).status == 200; }));
  const TimePoint hung_at = BootClock::now();
  std::thread caller([&] { first.Call("POST", "dddddddddddddddd", kJob); });
  EXPECT_TRUE(WaitFor([&] {
    return Get(second.metrics_url).body.find("chivewing_dispatching 1\n") !=
           std::string::npos;
  }));
  EXPECT_LT(BootClock::now(), hung_at + seconds(8));
  EXPECT_EQ(second.Call("POST", "eeeeeeeeeeeeeeee", kJob), 200);
  EXPECT_TRUE(WaitFor([&] {
    return second.StateOf("eeeeeeeeeeeeeeee") == R"({"state":"completed"})";
  }));
  caller.join();
  EXPECT_EQ(worker_.max_concurrent_runs(), 1U);
}

// A peer of the host under test that records what it is sent.
class RecordingPeer {
 public:
  RecordingPeer(const std::string& name, bool takes_job_feed,
                StoreStandin& store) {
    PeerMeshSettings settings;
    settings.host = HostId(name);
    settings.zone = ZoneId("z1");
    settings.incarnation = 1;
    settings.key = "chivewing-cluster";
    settings.listen_address = "127.0.0.1:0";
    mesh_ = std::move(PeerMesh::Start(settings, [this](const PeerEvent& event) {
                        Record(event);
                      }).value());
    HostRow row{settings.host, settings.zone,
                "127.0.0.1:" + std::to_string(mesh_->port()), 1};
    row.takes_job_feed = takes_job_feed;
    const std::string key = HostRowKey(settings.host);
    store.Put(std::string(wire::kTableName), wire::PartitionOf(key), key,
              "write\n" + EncodeHostRow(row));
  }

  // Asks the host at the address for its job feed.
  bool RequestFeed(const std::string& host, std::uint16_t port) {
    mesh_->AddPeer({HostId(host), "127.0.0.1:" + std::to_string(port)});
    return WaitFor([&] {
      return mesh_->Send(HostId(host), PeerMessage(JobFeedRequest{}));
    });
  }
  // States in the order of their messages.
  std::vector<JobPhase> states() const {
    const std::scoped_lock lock(mutex_);
    return states_;
  }
  std::size_t progress_rows() const {
    const std::scoped_lock lock(mutex_);
    return progress_rows_;
  }
  // Keys of the rows that were pushed to this peer.
  std::set<std::string> pushed_keys() const {
    const std::scoped_lock lock(mutex_);
    return pushed_keys_;
  }

 private:
  void Record(const PeerEvent& event) {
    const std::scoped_lock lock(mutex_);
    const auto* received = std::get_if<PeerMessageReceived>(&event);
    if (received == nullptr) return;
    if (const auto* feed = std::get_if<JobFeed>(&received->message)) {
      for (const auto& change : feed->changes) states_.push_back(change.state);
    }
    if (const auto* push = std::get_if<RowsPush>(&received->message)) {
      for (const TableRow& row : push->rows) {
        pushed_keys_.insert(row.key);
        if (row.key.starts_with(kProgressRows)) ++progress_rows_;
      }
    }
  }

  mutable std::mutex mutex_;
  std::vector<JobPhase> states_;
  std::size_t progress_rows_ = 0;
  std::set<std::string> pushed_keys_;
  std::unique_ptr<PeerMesh> mesh_;  // last: it calls Record until destroyed
};

TEST_F(ClusterHostTest, PeersGetChangedStatesInsteadOfProgressRows) {
  RecordingPeer current("p1", true, store_);
  const RecordingPeer older_build("p2", false, store_);
  Host host("h1", store_, {ports_[0], ports_[1], ports_[2], ports_[6]});
  ASSERT_TRUE(WaitFor([&] {
    return Get(host.metrics_url).body.find("chivewing_dispatching 1\n") !=
           std::string::npos;
  }));
  ASSERT_TRUE(WaitFor([&] {
    return Get(host.metrics_url).body.find("chivewing_peers_up 2\n") !=
           std::string::npos;
  })) << Get(host.metrics_url).body;
  ASSERT_TRUE(current.RequestFeed("h1", ports_[2]));
  EXPECT_EQ(host.Call("POST", "dddddddddddddddd", kJob), 200);
  EXPECT_TRUE(WaitFor([&] {
    const std::vector<JobPhase> states = current.states();
    return !states.empty() && states.back() == JobPhase::kCompleted;
  }));
  // A job that changes twice in a moment is sent once.
  const std::vector<JobPhase> states = current.states();
  EXPECT_TRUE(std::is_sorted(states.begin(), states.end()));
  EXPECT_EQ(std::adjacent_find(states.begin(), states.end()), states.end());
  EXPECT_EQ(current.progress_rows(), 0U);
  EXPECT_EQ(older_build.progress_rows(), 0U);
  EXPECT_TRUE(older_build.states().empty());
}

// After a take-over, hosts that read the table seldom went on serving the
// former dispatching host for seconds, and the new one had no gateways.
TEST_F(ClusterHostTest, ThePeersHearFromTheDispatchingHostWhereItIs) {
  const RecordingPeer peer("p1", true, store_);
  Host host("h1", store_, {ports_[0], ports_[1], ports_[2], ports_[6]});
  const std::set<std::string> expected = {HostRowKey(HostId("h1")),
                                          "placer/all"};
  EXPECT_TRUE(WaitFor([&] { return peer.pushed_keys() == expected; }));
}

// With many hosts, those far from taking the lease do not read the table.
class FedHostTest : public ClusterHostTest {
 protected:
  FedHostTest() {
    for (int i = 0; i < kStrongerHosts; ++i) {
      HostRow row{HostId("strong-" + std::to_string(i)), ZoneId("z1"),
                  "127.0.0.1:1", 1, 1000};
      const std::string key = HostRowKey(row.host);
      store_.Put(std::string(wire::kTableName), wire::PartitionOf(key), key,
                 "write\n" + EncodeHostRow(row));
    }
  }
  // Counts the reads of changes of the host that it is passed to.
  std::function<void(PlatformInterface&)> Counted() {
    return [this](PlatformInterface& calls) {
      calls.table.changes = [this, changes = calls.table.changes](
                                std::uint64_t since, milliseconds wait,
                                const auto& done) {
        ++change_reads_;
        changes(since, wait, done);
      };
    };
  }
  bool IsDispatching(const Host& host) {
    return Get(host.metrics_url).body.find("chivewing_dispatching 1\n") !=
           std::string::npos;
  }
  // True once the host has read no changes for longer than it reads them
  // otherwise.
  bool HasStoppedReading() {
    return WaitFor([&] {
      const int before = change_reads_;
      std::this_thread::sleep_for(milliseconds(1500));
      return change_reads_ == before;
    });
  }

  static constexpr int kStrongerHosts = 9;
  std::atomic<int> change_reads_{0};
};

TEST_F(FedHostTest, AFedHostKnowsStatesAndTakesOverAllJobs) {
  auto first = std::make_unique<Host>(
      "h1", store_,
      std::vector<std::uint16_t>{ports_[0], ports_[1], ports_[2], ports_[6]});
  ASSERT_TRUE(WaitFor([&] { return IsDispatching(*first); }));
  Host second("h2", store_, {ports_[3], ports_[4], ports_[5], ports_[7]},
              Counted());
  const TimePoint started = BootClock::now();
  ASSERT_TRUE(WaitFor([&] { return Get(second.ready_url).status == 200; }));
  EXPECT_LT(BootClock::now(), started + milliseconds(2500))
      << "has waited in vain for the feed";
  EXPECT_TRUE(HasStoppedReading());
  EXPECT_NE(Get(second.metrics_url).body.find("chivewing_fed 1\n"),
            std::string::npos);
  const std::string done = "aaaaaaaaaaaaaaaa";
  EXPECT_EQ(first->Call("POST", done, kJob), 200);
  EXPECT_TRUE(WaitFor(
      [&] { return second.StateOf(done) == R"({"state":"completed"})"; }));
  EXPECT_EQ(second.Call("GET", ""), 200);
  worker_.runs_go_on = true;
  const std::string open = "bbbbbbbbbbbbbbbb";
  EXPECT_EQ(first->Call("POST", open, kJob), 200);
  EXPECT_TRUE(WaitFor(
      [&] { return second.StateOf(open) == R"({"state":"running"})"; }));
  first.reset();
  EXPECT_TRUE(WaitFor([&] { return IsDispatching(second); }));
  worker_.runs_go_on = false;
  EXPECT_TRUE(WaitFor(
      [&] { return second.StateOf(open) == R"({"state":"completed"})"; }));
  EXPECT_EQ(worker_.starts(), 2 * small_day::kTasksPerJob);
}

TEST_F(ClusterHostTest, AnAddedQueueIsServedThoughOpenConnectionsWentSilent) {
  SilencingProxy proxy(store_.port());
  Host host("h1", proxy.address(),
            {ports_[0], ports_[1], ports_[2], ports_[6]});
  ASSERT_TRUE(WaitFor([&] { return Get(host.ready_url).status == 200; }));
  const std::string path = "/added/aaaaaaaaaaaaaaaa";
  ASSERT_EQ(host.CallPath("POST", path, kJob), 404);
  host.OpenStoreConnections(5);
  proxy.SilenceOpenConnections();
  const TimePoint calm_at = BootClock::now() + kCalmAfter;
  store_.Put("op", "", "config", small_day::kDesiredStateWithAddedQueue);
  std::this_thread::sleep_until(calm_at);
  EXPECT_EQ(host.CallPath("POST", path, kJob), 200);
}

TEST_F(ClusterHostTest, RefusesWhileTheStoreRefuses) {
  Host host("h1", store_, {ports_[0], ports_[1], ports_[2], ports_[6]});
  ASSERT_TRUE(WaitFor([&] { return Get(host.ready_url).status == 200; }));
  store_.refuse_with = 503;
  EXPECT_EQ(host.Call("POST", "cccccccccccccccc", kJob), 503);
  EXPECT_TRUE(WaitFor([&] { return Get(host.ready_url).status == 503; }));
  store_.refuse_with = 0;
  EXPECT_TRUE(WaitFor([&] { return Get(host.ready_url).status == 200; }));
  EXPECT_EQ(host.Call("POST", "cccccccccccccccc", kJob), 200);
}

}  // namespace
}  // namespace chivewing
