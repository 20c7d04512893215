#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "routing/fake_zone.h"

namespace rc {

template <>
struct Arbitrary<chivewing::Fault> {
  static Gen<chivewing::Fault> arbitrary() {
    using chivewing::Fault;
    return gen::build<Fault>(
        gen::set(&Fault::kind,
                 gen::map(gen::inRange(0, Fault::kKindCount),
                          [](int kind) { return Fault::Kind(kind); })),
        gen::set(&Fault::at_ms, gen::inRange(0U, 500U)),
        gen::set(&Fault::subject, gen::inRange(0U, 32U)),
        gen::set(&Fault::length_ms, gen::inRange(1U, 300U)));
  }
};

}  // namespace rc

namespace chivewing {

// Used by RapidCheck to print a failed schedule.
void showValue(const Fault& fault, std::ostream& out) {  // NOLINT
  out << "{kind " << static_cast<int>(fault.kind) << ", at " << fault.at_ms
      << " ms, subject " << fault.subject << ", " << fault.length_ms << " ms}";
}

namespace {

// Runs of each schedule, each with different arrivals and delays.
constexpr std::uint32_t kRunsPerSchedule = 6;

std::string JoinSentences(const std::set<std::string>& sentences) {
  std::string all;
  for (const std::string& each : sentences) all += each + "; ";
  return all;
}

RC_GTEST_PROP(RouterProperty, HoldsUnderRandomFaults,
              (const std::vector<Fault>& faults)) {
  RouterSettings settings;
  settings.peer_choice = *rc::gen::element(
      PeerSelectionPolicy::kNone, PeerSelectionPolicy::kMostFreeSlots,
      PeerSelectionPolicy::kPowerOfTwoChoices,
      PeerSelectionPolicy::kShortestExpectedWait,
      PeerSelectionPolicy::kMostFreeSlotsThenShortestWait);
  const std::uint32_t seed = *rc::gen::inRange(1U, 1000000U);
  for (std::uint32_t run = 0; run < kRunsPerSchedule; ++run) {
    FakeZone zone(seed + run, settings, {});
    zone.Run(faults);
    RC_LOG() << JoinSentences(zone.violations());
    RC_ASSERT(zone.violations().empty());
    RC_ASSERT(zone.run_count() > 0U);
  }
}

// With one mechanism disabled, the checks find the violation that it prevents;
// with all enabled, they find none.
struct DisabledMechanismCase {
  const char* name;
  FaultToggles toggles;
  Fault::Kind fault;
  const char* violation;
};

class DisabledMechanismTest
    : public testing::TestWithParam<DisabledMechanismCase> {};

bool FindsViolation(const DisabledMechanismCase& param,
                    const FaultToggles& toggles) {
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    FakeZone zone(seed, {}, toggles);
    std::vector<Fault> faults;
    for (std::uint32_t i = 0; i < 8; ++i) {
      faults.push_back({Fault::Kind::kSlowTarget, 50, i, 300});
      faults.push_back({param.fault, 100 + 10 * i, i + seed, 250});
    }
    zone.Run(faults);
    if (zone.violations().contains(param.violation)) return true;
  }
  return false;
}

TEST_P(DisabledMechanismTest, ViolationIsFoundOnlyWithoutTheMechanism) {
  const DisabledMechanismCase& param = GetParam();
  EXPECT_TRUE(FindsViolation(param, param.toggles));
  EXPECT_FALSE(FindsViolation(param, {}));
}

INSTANTIATE_TEST_SUITE_P(
    Switches, DisabledMechanismTest,
    testing::Values(
        DisabledMechanismCase{"LeftBehind",
                              {.count_abandoned_slots = false},
                              Fault::Kind::kKillHost,
                              "an instance got more requests than slots"},
        DisabledMechanismCase{"Leaving",
                              {.notify_leaving = false},
                              Fault::Kind::kTargetLeaves,
                              "a leaving instance was sent a new request"},
        DisabledMechanismCase{"Timeouts",
                              {.report_timeouts = false},
                              Fault::Kind::kSlowTarget,
                              "a request that ran was reported as not run"},
        DisabledMechanismCase{"HandOver",
                              {.drain_before_handover = false},
                              Fault::Kind::kMoveAssignment,
                              "an instance got more requests than slots"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chivewing
