#pragma once

#include <string>

#include "base/id.h"
#include "placement/resources.h"

namespace chivewing {

enum class WorkerState {
  kLive,      // takes new tasks
  kLeaving,   // takes no new tasks, running ones are moved away
  kGone,      // certainly runs nothing any more
  kOutOfUse,  // as kLeaving, by an operator's catalogue entry
};

// What the platform and the catalogue say of one worker.
struct WorkerSpec {
  WorkerId id;
  std::string rack;
  std::string address;
  Resources capacity;
  WorkerState state = WorkerState::kLive;
};

}  // namespace chivewing
