#pragma once

#include <cstddef>
#include <string_view>

namespace chivewing {

// What a step with waiting tasks needs before another attempt makes sense.
enum class StepWait {
  kAttempt,          // it has not been tried since it became ready
  kAdvice,           // the response to its request, or room where approved
  kRoom,             // room on a worker that is not rejected
  kQuickAdviceHost,  // a host that can send its quick advice request
  kSlowAdviceHost,   // the same for a slow request
  kEarlierRuns,      // its job may have runs of an earlier dispatcher
  kRowRefused,       // a row of its job that the table refuses
};
inline constexpr std::size_t kStepWaits = 7;

// As used in log lines and metrics.
std::string_view Name(StepWait wait);

}  // namespace chivewing
