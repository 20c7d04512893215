#pragma once

#include <variant>
#include <vector>

#include "dispatch/worker_messages.h"

namespace chivewing {

// What the dispatcher wants done. Each one that is sent is answered by a call
// of the dispatcher, at the latest with a time-out.
using DispatchEffect =
    std::variant<StartRun, StopRun, PaceRun, PollWorker, AdviceRequest>;

using DispatchEffects = std::vector<DispatchEffect>;

}  // namespace chivewing
