#include "cluster/gateway_assigner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

WorkerId Worker(int number) { return WorkerId("w" + std::to_string(number)); }

// Asks for the gateway of each worker once; worker i is in zone i % zones.
std::map<WorkerId, HostId> AskAll(GatewayAssigner& assigner, TimePoint now,
                                  int workers, int zones = 1) {
  std::map<WorkerId, HostId> out;
  for (int i = 0; i < workers; ++i) {
    const ZoneId zone("z" + std::to_string(i % zones));
    const auto gateway = assigner.GatewayOf(now, Worker(i), zone);
    if (gateway) out[Worker(i)] = *gateway;
  }
  return out;
}

struct SpreadCase {
  const char* name;
  std::vector<GatewayOption> options;
  std::map<HostId, std::size_t> expected;  // of 60 workers of one zone
};

class SpreadTest : public testing::TestWithParam<SpreadCase> {};

TEST_P(SpreadTest, FollowsShareAndZone) {
  GatewayAssigner assigner;
  assigner.SetGateways(GetParam().options);
  AskAll(assigner, kStart, 60);
  for (const auto& [host, workers] : GetParam().expected) {
    EXPECT_EQ(assigner.WorkersOf(host), workers) << host.value();
  }
}

const HostId kA("a");
const HostId kB("b");
const HostId kC("c");
const ZoneId kZone("z0");
const ZoneId kOther("z1");

INSTANTIATE_TEST_SUITE_P(
    Cases, SpreadTest,
    testing::Values(SpreadCase{"None", {}, {{kA, 0}}},
                    SpreadCase{"One", {{kA, kOther, 0.1}}, {{kA, 60}}},
                    SpreadCase{
                        "Even",
                        {{kA, kZone, 0.5}, {kB, kZone, 0.5}, {kC, kZone, 0.5}},
                        {{kA, 20}, {kB, 20}, {kC, 20}}},
                    SpreadCase{"ByShare",
                               {{kA, kZone, 0.5}, {kB, kZone, 0.1}},
                               {{kA, 50}, {kB, 10}}},
                    SpreadCase{"PrefersTheZone",
                               {{kA, kZone, 0.5}, {kB, kOther, 0.5}},
                               {{kA, 40}, {kB, 20}}}),
    [](const auto& each) { return each.param.name; });

TEST(GatewayAssigner, AWorkerKeepsItsGateway) {
  GatewayAssigner assigner;
  assigner.SetGateways({{kA, kZone}, {kB, kZone}, {kC, kZone}});
  const auto first = AskAll(assigner, kStart, 60);
  for (int i = 1; i <= 40; ++i) {
    EXPECT_EQ(AskAll(assigner, kStart + milliseconds(100 * i), 60), first);
  }
}

TEST(GatewayAssigner, OnlyTheWorkersOfALostGatewayMove) {
  GatewayAssigner assigner;
  assigner.SetGateways({{kA, kZone}, {kB, kZone}, {kC, kZone}});
  const auto before = AskAll(assigner, kStart, 60);
  assigner.SetGateways({{kA, kZone}, {kC, kZone}});
  const auto after = AskAll(assigner, kStart + seconds(1), 60);
  for (const auto& [worker, host] : before) {
    if (host != kB) {
      EXPECT_EQ(after.at(worker), host) << worker.value();
    }
  }
  EXPECT_EQ(assigner.WorkersOf(kA), 30U);
  EXPECT_EQ(assigner.WorkersOf(kC), 30U);
}

TEST(GatewayAssigner, ANewGatewayGetsItsPartAndNothingElseMoves) {
  GatewayAssigner assigner;
  assigner.SetGateways({{kA, kZone}, {kB, kZone}});
  const auto before = AskAll(assigner, kStart, 60);
  assigner.SetGateways({{kA, kZone}, {kB, kZone}, {kC, kZone}});
  const auto after = AskAll(assigner, kStart + seconds(1), 60);
  for (const auto& [worker, host] : after) {
    if (host != kC) {
      EXPECT_EQ(before.at(worker), host) << worker.value();
    }
  }
  EXPECT_GE(assigner.WorkersOf(kC), 10U);
}

TEST(GatewayAssigner, AFailedGatewayGetsNoWorkersForAGrowingTime) {
  GatewayAssigner assigner;
  assigner.SetGateways({{kA, kZone}, {kB, kZone}});
  AskAll(assigner, kStart, 10);
  assigner.OnGatewayFailure(kStart, kA);
  EXPECT_EQ(assigner.WorkersOf(kA), 0U);
  AskAll(assigner, kStart, 10);
  EXPECT_EQ(assigner.WorkersOf(kB), 10U);
  EXPECT_FALSE(assigner.IsAvailable(kStart + milliseconds(999), kA));
  EXPECT_TRUE(assigner.IsAvailable(kStart + seconds(1), kA));
  assigner.OnGatewayFailure(kStart + seconds(1), kA);
  EXPECT_FALSE(assigner.IsAvailable(kStart + milliseconds(2999), kA));
  EXPECT_TRUE(assigner.IsAvailable(kStart + seconds(3), kA));
}

TEST(GatewayAssigner, AnUnreachedWorkerAvoidsThatGatewayAlone) {
  GatewayAssigner assigner;
  assigner.SetGateways({{kA, kZone}});
  EXPECT_EQ(assigner.GatewayOf(kStart, Worker(1), kZone), kA);
  EXPECT_EQ(assigner.GatewayOf(kStart, Worker(2), kZone), kA);
  assigner.OnUnreachedWorker(kStart, kA, Worker(1));
  EXPECT_EQ(assigner.GatewayOf(kStart, Worker(1), kZone), std::nullopt);
  EXPECT_EQ(assigner.GatewayOf(kStart, Worker(2), kZone), kA);
  EXPECT_EQ(assigner.GatewayOf(kStart + seconds(5), Worker(1), kZone), kA);
}

// Whatever comes and goes, a call gets a listed gateway that has not failed,
// and the counts agree with the answers.
RC_GTEST_PROP(GatewayAssigner, AnswersAreUsableAndCounted, ()) {
  GatewayAssigner assigner;
  std::set<HostId> listed;
  std::map<HostId, TimePoint> failed_until;
  TimePoint now = kStart;
  for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    const HostId host("h" + std::to_string(*rc::gen::inRange(0, 5)));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        if (!listed.insert(host).second) listed.erase(host);
        failed_until.erase(host);
        break;
      case 1:
        if (assigner.IsAvailable(now, host)) {
          assigner.OnGatewayFailure(now, host);
          failed_until[host] = now + seconds(1);
        }
        break;
      case 2:
        assigner.OnUnreachedWorker(now, host, Worker(step % 20));
        break;
      default:
        break;
    }
    std::vector<GatewayOption> options;
    options.reserve(listed.size());
    for (const HostId& each : listed) options.push_back({each, kZone});
    assigner.SetGateways(options);
    for (const auto& [worker, gateway] : AskAll(assigner, now, 20, 2)) {
      RC_ASSERT(listed.contains(gateway));
      RC_ASSERT(now >= failed_until[gateway]);
    }
    std::size_t served = 0;
    for (const HostId& each : listed) served += assigner.WorkersOf(each);
    RC_ASSERT(served == AskAll(assigner, now, 20, 2).size());
  }
}

}  // namespace
}  // namespace chivewing
