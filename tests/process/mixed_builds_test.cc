// Rolling release: two builds of the program serve together while hosts are
// replaced one by one. CHIVEWING_OTHER_BIN names the folder of the other build;
// without it both are the program under test. Work is lost or repeated here if
// the builds interpret a row, a message or a setting differently.

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "cell/client_load_generator.h"
#include "cell/test_cell.h"
#include "process/cell_entries.h"
#include "standins/blocking_http.h"
#include "standins/free_ports.h"
#include "standins/store_standin.h"
#include "standins/task_runner_standin.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{30};

using cell_entries::kNotice;
using cell_entries::kReveal;
constexpr const char* kCheck = R"({"name":"route-check","owner":"hauliers",
  "class":"service","limits":{"processors":1,"memory_mb":256,"instances":2},
  "policy":{"deadline_ms":3000,"request_timeout_ms":500,"longest_run_ms":1000,
            "idempotent":true}})";

class MixedCellTest : public testing::Test {
 protected:
  bool Serves(std::size_t host, const std::string& entry) {
    return cell_.Request(host, entry, "warm", "warm-" + entry).status == 200;
  }

  void ReplaceAll(const std::string& folder) {
    for (std::size_t i = 0; i < cell_.size(); ++i) {
      EXPECT_EQ(cell_.host(i).StopGracefully(), 0);
      cell_.host(i).set_program_folder(folder);
      cell_.StartHost(i);
      EXPECT_TRUE(TestCell::WaitUntil(
          [&] {
            return Serves(i, "hint-reveal") && Serves(i, "notice-post") &&
                   cell_.Placer() >= 0;
          },
          kLimit));
    }
  }

  TestCell cell_;
};

TEST_F(MixedCellTest, HostsReplacedOneByOneServeAndRunNothingTwice) {
  ASSERT_EQ(cell_.Put(0, kReveal).status, 200);
  ASSERT_EQ(cell_.Put(0, kNotice).status, 200);
  for (std::size_t i = 0; i < cell_.size(); ++i) {
    ASSERT_TRUE(TestCell::WaitUntil(
        [&] { return Serves(i, "hint-reveal") && Serves(i, "notice-post"); },
        kLimit));
  }
  ClientLoadGenerator reveals(cell_, "hint-reveal", true, 3);
  ClientLoadGenerator notices(cell_, "notice-post", false, 3);
  ReplaceAll(OtherProgramFolder());
  EXPECT_EQ(cell_.Put(1, kCheck).status, 200);  // written by the other build
  ReplaceAll(ProgramFolder());
  for (std::size_t i = 0; i < cell_.size(); ++i) {
    EXPECT_TRUE(
        TestCell::WaitUntil([&] { return Serves(i, "route-check"); }, kLimit));
  }
  const auto revealed = reveals.Stop();
  const auto posted = notices.Stop();
  std::cout << "reveals: sent " << revealed.sent << ", done " << revealed.done
            << "; notices: sent " << posted.sent << ", done " << posted.done
            << "\n";
  EXPECT_GT(revealed.done, 0U);
  EXPECT_GT(posted.done, 0U);
  EXPECT_EQ(revealed.wrong + posted.wrong, 0U);
  EXPECT_EQ(cell_.Overcommits(), 0U);
  const std::map<std::string, int> ran = cell_.RunCounts();
  for (const auto& [key, outcome] : notices.last_outcomes()) {
    const auto found = ran.find(key);
    const int times = found == ran.end() ? 0 : found->second;
    EXPECT_LE(times, 1) << key << " ran more than once";
    if (outcome == "done") {
      EXPECT_EQ(times, 1) << key
                          << " was reported done but did not run exactly once";
    }
    if (outcome == "not_run") {
      EXPECT_EQ(times, 0) << key << " was reported not run but ran";
    }
  }
}

constexpr const char* kDesiredState =
    R"({"version":3,"routes":[{"name":"r","host":"desk.example",
        "pathPrefix":"/jobs/","sloMs":250,"priority":0,"service":"pool",
        "maxAttempts":2,"stretch":1.5}],
        "services":[{"name":"pool"}]})";
constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":3,"cpu":500,"memMb":100,"estMs":50},
                            {"count":2,"cpu":500,"memMb":100,"estMs":50,
                             "after":[0]}]})";
constexpr std::size_t kTasksPerJob = 5;

// Two cluster hosts as processes, over a stand-in for the platform's store and
// one stand-in worker.
class MixedClusterTest : public testing::Test {
 protected:
  struct Host {
    std::string caller;
    std::string ready;
    std::string metrics;
    std::unique_ptr<EntryHostProcess> process;
  };

  MixedClusterTest() {
    store_.Put("op", "", "config", kDesiredState);
    store_.Put("servers", "", "i-1", worker_.Registration("pool"));
    std::string pattern =
        (std::filesystem::temp_directory_path() / "chivewing-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    const std::vector<std::uint16_t> ports = FreePorts(8);
    AddHost("h1", ports.data());
    AddHost("h2", ports.data() + 4);
  }
  ~MixedClusterTest() override {
    hosts_.clear();
    std::filesystem::remove_all(folder_);
  }

  void AddHost(const std::string& name, const std::uint16_t* ports) {
    const auto address = [ports](int index) {
      return "127.0.0.1:" + std::to_string(ports[index]);
    };
    const nlohmann::json settings = {{"host", name},
                                     {"zone", "z1"},
                                     {"caller_address", address(0)},
                                     {"ready_address", address(1)},
                                     {"peer_address", address(2)},
                                     {"metrics_address", address(3)},
                                     {"store_address", store_.address()},
                                     {"longest_lease_ms", 10000}};
    const std::string path = folder_ + "/" + name + ".json";
    std::ofstream(path) << settings.dump();
    hosts_.push_back(
        {"http://" + address(0), "http://" + address(1) + "/ready",
         "http://" + address(3) + "/metrics",
         std::make_unique<EntryHostProcess>(path, folder_ + "/" + name + ".log",
                                            "serve-cluster")});
  }

  void Start(std::size_t host, const std::string& folder) {
    hosts_[host].process->set_program_folder(folder);
    hosts_[host].process->Start();
    EXPECT_TRUE(TestCell::WaitUntil(
        [&] { return Get(hosts_[host].ready).status == 200; }, kLimit));
  }

  bool Dispatches(std::size_t host) {
    return Get(hosts_[host].metrics).body.find("chivewing_dispatching 1") !=
           std::string::npos;
  }

  // Submits a new job, repeating the request until it is accepted as a client
  // does.
  void Submit(std::size_t host) {
    std::string digits = std::to_string(++jobs_);
    const std::string job = std::string(16 - digits.size(), '0') + digits;
    EXPECT_TRUE(TestCell::WaitUntil(
        [&] { return Call(host, "POST", job, kJob).status == 200; }, kLimit))
        << job;
  }

  bool AllCompleted(std::size_t host) {
    for (int i = 1; i <= jobs_; ++i) {
      std::string digits = std::to_string(i);
      const std::string job = std::string(16 - digits.size(), '0') + digits;
      if (Call(host, "GET", job, "").body != R"({"state":"completed"})") {
        return false;
      }
    }
    return true;
  }

  HttpResponse Call(std::size_t host, const std::string& method,
                    const std::string& job, const std::string& body) {
    return chivewing::Call(method, hosts_[host].caller + "/jobs/" + job, body,
                           {{"Host", "desk.example"}});
  }

  std::string folder_;
  StoreStandin store_;
  TaskRunnerStandin worker_{"i-1"};
  std::vector<Host> hosts_;
  int jobs_ = 0;
};

TEST_F(MixedClusterTest, DispatcherLeaseMovesToTheOtherBuildAndBack) {
  Start(0, OtherProgramFolder());
  ASSERT_TRUE(TestCell::WaitUntil([&] { return Dispatches(0); }, kLimit));
  Start(1, ProgramFolder());
  Submit(0);
  Submit(1);
  EXPECT_EQ(hosts_[0].process->StopGracefully(), 0);
  Submit(1);
  ASSERT_TRUE(TestCell::WaitUntil([&] { return Dispatches(1); }, kLimit));
  Start(0, OtherProgramFolder());
  Submit(0);
  Submit(1);
  EXPECT_EQ(hosts_[1].process->StopGracefully(), 0);
  Submit(0);
  ASSERT_TRUE(TestCell::WaitUntil([&] { return Dispatches(0); }, kLimit));
  Start(1, ProgramFolder());
  Submit(1);
  hosts_[0].process->Kill();
  Submit(1);
  ASSERT_TRUE(TestCell::WaitUntil([&] { return Dispatches(1); }, kLimit));
  EXPECT_TRUE(TestCell::WaitUntil([&] { return AllCompleted(1); }, kLimit));
  EXPECT_EQ(worker_.starts(), kTasksPerJob * static_cast<std::size_t>(jobs_));
  EXPECT_EQ(worker_.max_concurrent_runs(), 1U);
}

}  // namespace
}  // namespace chivewing
