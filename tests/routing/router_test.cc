#include "routing/router.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

const EntryName kEntry("route-check");

// A Router with one class and the given number of instances of two slots.
class RouterTest : public testing::Test {
 protected:
  void Start(int instances, bool idempotent = true) {
    RequestClass policy;
    policy.entry = kEntry;
    policy.idempotent = idempotent;
    router_.SetClasses(now_, {policy}, out_);
    for (int i = 0; i < instances; ++i) {
      InstanceInfo info;
      info.id = InstanceId("i" + std::to_string(i));
      info.entry = kEntry;
      info.slots = 2;
      router_.AddInstance(now_, info, false, out_);
    }
  }

  void Submit(const std::string& id) {
    RouterRequest request;
    request.id = RequestId(id);
    request.entry = kEntry;
    request.claimed = true;
    ASSERT_TRUE(router_.Submit(now_, request, out_).has_value());
  }

  // Removes the oldest effect of this type from the list and returns it.
  template <typename Effect>
  std::optional<Effect> Take() {
    for (auto each = out_.begin(); each != out_.end(); ++each) {
      const Effect* const effect = std::get_if<Effect>(&*each);
      if (effect == nullptr) continue;
      const Effect taken = *effect;
      out_.erase(each);
      return taken;
    }
    return std::nullopt;
  }

  TimePoint now_{std::chrono::hours(1)};
  Router router_;
  RouterEffects out_;
};

// Expected reaction when the first dispatch of a request ends in `outcome`.
struct OutcomeCase {
  TargetOutcome outcome;
  bool idempotent;
  bool retried;
  ResultCode code;  // when not retried
};

class OutcomeTest : public RouterTest,
                    public testing::WithParamInterface<OutcomeCase> {};

TEST_P(OutcomeTest, EndsInItsCodeOrIsRetried) {
  const OutcomeCase& param = GetParam();
  Start(3, param.idempotent);
  Submit("r1");
  const auto first = Take<Dispatch>();
  ASSERT_TRUE(first);
  now_ += milliseconds(5);
  router_.OnDispatchCompleted(now_, first->dispatch, param.outcome, out_);
  const auto second = Take<Dispatch>();
  EXPECT_EQ(second.has_value(), param.retried);
  const auto answer = Take<RespondToCaller>();
  ASSERT_EQ(answer.has_value(), !param.retried);
  if (answer) {
    EXPECT_EQ(answer->code, param.code);
  }
  if (second) {
    EXPECT_NE(second->instance, first->instance);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All, OutcomeTest,
    testing::Values(
        OutcomeCase{TargetOutcome::kDone, false, false, ResultCode::kOk},
        OutcomeCase{TargetOutcome::kDoneWithFault, false, false,
                    ResultCode::kOk},
        OutcomeCase{TargetOutcome::kRefusedNoSlot, false, true, {}},
        OutcomeCase{TargetOutcome::kRefusedLeaving, false, true, {}},
        OutcomeCase{TargetOutcome::kConnectFailed, false, true, {}},
        OutcomeCase{TargetOutcome::kNotSent, false, true, {}},
        OutcomeCase{TargetOutcome::kTimedOut, false, false,
                    ResultCode::kTimedOut},
        OutcomeCase{TargetOutcome::kConnectionLost, false, false,
                    ResultCode::kConnectionLost},
        OutcomeCase{TargetOutcome::kBadAnswer, false, false,
                    ResultCode::kBadAnswer},
        OutcomeCase{TargetOutcome::kTimedOut, true, true, {}},
        OutcomeCase{TargetOutcome::kConnectionLost, true, true, {}},
        OutcomeCase{TargetOutcome::kBadAnswer, true, true, {}}));

// A request may reach the instance after a status request that was sent later,
// so a status requested within the arrival delay does not free the slot.
TEST_F(RouterTest, StatusRequestedTooSoonDoesNotFreeASlot) {
  Start(1);
  Submit("r1");
  Submit("r2");
  const auto first = Take<Dispatch>();
  now_ += milliseconds(1);
  router_.OnDispatchCompleted(now_, first->dispatch, TargetOutcome::kTimedOut,
                              out_);
  router_.ApplyStatus(now_, first->instance, {}, now_, out_);
  EXPECT_EQ(router_.State(now_).instances[0].abandoned_slots, 1U);
  now_ += milliseconds(100);
  router_.ApplyStatus(now_, first->instance, {}, now_, out_);
  EXPECT_EQ(router_.State(now_).instances[0].abandoned_slots, 0U);
}

// With a long-tailed service time, single requests take far longer than the
// mean; one of them must not eject its instance.
TEST_F(RouterTest, OneLongRequestDoesNotEjectItsInstance) {
  Start(4);
  for (int i = 0; i < 200; ++i) {
    Submit("r" + std::to_string(i));
    const auto sent = Take<Dispatch>();
    now_ += i == 150 ? milliseconds(240) : milliseconds(4);
    router_.OnDispatchCompleted(now_, sent->dispatch, TargetOutcome::kDone,
                                out_);
  }
  EXPECT_EQ(router_.State(now_).counters.ejections, 0U);
}

TEST_F(RouterTest, ConsistentlySlowInstanceIsEjected) {
  Start(4);
  for (int round = 0; round < 30; ++round) {
    for (int i = 0; i < 8; ++i) {
      Submit("r" + std::to_string(round) + "." + std::to_string(i));
    }
    std::vector<DispatchId> slow;
    now_ += milliseconds(4);
    while (const auto sent = Take<Dispatch>()) {
      if (sent->instance == InstanceId("i2")) {
        slow.push_back(sent->dispatch);
        continue;
      }
      router_.OnDispatchCompleted(now_, sent->dispatch, TargetOutcome::kDone,
                                  out_);
    }
    now_ += milliseconds(76);
    for (const DispatchId dispatch : slow) {
      router_.OnDispatchCompleted(now_, dispatch, TargetOutcome::kDone, out_);
    }
  }
  EXPECT_EQ(router_.State(now_).counters.ejections, 1U);
}

}  // namespace
}  // namespace chivewing
