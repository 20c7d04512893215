#pragma once

#include <string>

#include "base/id.h"
#include "placement/resources.h"

namespace chivewing {

enum class WorkerState {
  kLive,      // accepts new tasks
  kLeaving,   // accepts no new tasks; running tasks are moved to other workers
  kGone,      // confirmed to run no tasks
  kOutOfUse,  // like kLeaving, set by an operator in the catalogue
};

// Description of one worker, from the platform's worker list and the catalogue.
struct WorkerSpec {
  WorkerId id;
  std::string rack;
  std::string address;
  Resources capacity;
  WorkerState state = WorkerState::kLive;
};

}  // namespace chivewing
