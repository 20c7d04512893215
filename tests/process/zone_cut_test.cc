#include <gtest/gtest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "cell/client_load_generator.h"
#include "cell/test_cell.h"

// Two availability zones; the entry hosts of zone-0 are cut off from the
// platform for longer than all leases.
namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{40};

constexpr const char* kReveal = R"({"name":"hint-reveal","owner":"puzzles",
  "class":"service","limits":{"processors":2,"memory_mb":512,"instances":2},
  "policy":{"deadline_ms":3000,"request_timeout_ms":500,"longest_run_ms":1000,
            "idempotent":true}})";
// Both singletons start in zone-0, the zone that is cut off. The first fails
// over to zone-1 after 10 s, the second keeps running in zone-0.
constexpr const char* kLapsing = R"({"name":"streak-tracker","owner":"puzzles",
  "class":"singleton","limits":{"processors":1,"memory_mb":256,"slots":0},
  "policy":{"when_cut_off":"lapse","lapse_after_s":10,
            "zones":["zone-0","zone-1"]}})";
constexpr const char* kHolding = R"({"name":"escort-watch","owner":"hauliers",
  "class":"singleton","limits":{"processors":1,"memory_mb":256,"slots":0},
  "policy":{"when_cut_off":"hold","zones":["zone-0","zone-1"]}})";

class ZoneCutTest : public testing::Test {
 protected:
  ZoneCutTest() : cell_({.zones = 2, .hosts_per_zone = 2}) {}

  bool Serves(std::size_t host) {
    return cell_.Request(host, "hint-reveal", "cut").status == 200;
  }
  int RunningIn(const std::string& zone, const std::string& entry) {
    int count = 0;
    for (const auto& worker : cell_.workers()) {
      if (!worker->id().starts_with(zone + "-")) continue;
      for (const std::string& task : worker->running()) {
        if (task.find(":" + entry + ".") != std::string::npos) ++count;
      }
    }
    return count;
  }

  TestCell cell_;
};

TEST_F(ZoneCutTest, LapsingSingletonMovesAndHoldingOneStays) {
  for (const char* entry : {kReveal, kLapsing, kHolding}) {
    ASSERT_EQ(cell_.Put(0, entry).status, 200);
  }
  ASSERT_TRUE(TestCell::WaitUntil(
      [this] {
        return Serves(0) && Serves(1) && Serves(2) && Serves(3) &&
               RunningIn("zone-0", "streak-tracker") == 1 &&
               RunningIn("zone-0", "escort-watch") == 1;
      },
      kLimit));
  std::atomic<bool> watching{true};
  std::atomic<int> most{0};
  std::thread watch([&] {
    while (watching) {
      for (const char* entry : {"streak-tracker", "escort-watch"}) {
        most = std::max(most.load(), cell_.Running(entry));
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  });
  ClientLoadGenerator reveals(cell_, "hint-reveal", true, 4);
  cell_.platform().SetFaults(R"({"cut_hosts":["entry-0","entry-1"]})");
  EXPECT_TRUE(TestCell::WaitUntil(
      [this] { return RunningIn("zone-1", "streak-tracker") == 1; }, kLimit));
  // The partitioned zone still serves requests and keeps the singleton that
  // does not fail over.
  EXPECT_TRUE(Serves(0));
  EXPECT_TRUE(Serves(1));
  EXPECT_EQ(RunningIn("zone-0", "hint-reveal"), 2);
  EXPECT_EQ(RunningIn("zone-0", "escort-watch"), 1);
  EXPECT_EQ(RunningIn("zone-1", "escort-watch"), 0);
  cell_.platform().SetFaults(R"({"cut_hosts":[]})");
  std::this_thread::sleep_for(seconds(3));
  EXPECT_EQ(RunningIn("zone-1", "streak-tracker"), 1);
  EXPECT_EQ(RunningIn("zone-0", "escort-watch"), 1);
  watching = false;
  watch.join();
  EXPECT_EQ(most, 1);
  const ClientLoadCounters counts = reveals.Stop();
  EXPECT_EQ(counts.wrong, 0U);
  EXPECT_EQ(counts.unknown, 0U);
  EXPECT_EQ(counts.no_answer, 0U);
  std::cout << "reveals during the cut: sent " << counts.sent << ", done "
            << counts.done << ", not run " << counts.not_run << "\n";
}

}  // namespace
}  // namespace chivewing
