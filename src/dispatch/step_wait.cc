#include "dispatch/step_wait.h"

#include <array>

namespace chivewing {
namespace {

constexpr std::array<std::string_view, kStepWaits> kNames = {
    "attempt",          "advice",       "room",       "quick_advice_host",
    "slow_advice_host", "earlier_runs", "row_refused"};

}  // namespace

std::string_view Name(StepWait wait) {
  return kNames.at(static_cast<std::size_t>(wait));
}

}  // namespace chivewing
