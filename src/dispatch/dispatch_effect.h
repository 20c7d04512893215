#pragma once

#include <variant>
#include <vector>

#include "dispatch/worker_messages.h"

namespace chivewing {

// A message that the dispatcher wants sent. The caller reports the response of
// each one, or its time-out, back to the dispatcher.
using DispatchEffect =
    std::variant<StartRun, StopRun, PaceRun, PollWorker, AdviceRequest>;

using DispatchEffects = std::vector<DispatchEffect>;

}  // namespace chivewing
