#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/resources.h"

namespace chivewing {

// Where a task stands. Its resources stay reserved in every one of these.
enum class TaskState {
  kCommitPending,  // decided, the commit of its row is not confirmed
  kLaunched,       // committed, its worker has not confirmed the start
  kRunning,
  kUnreachable,  // its worker is silent; it may still run
  kStopping,     // told to stop, the stop is not confirmed
};

// How a task certainly ended.
enum class TaskEnd {
  kDone,
  kFailed,
  kStopped,
  kCheckpointed,
};

// Why a worker did not start a task. In both cases it certainly does not run.
enum class StartFailure {
  kNoRoom,  // the worker has less room than reserved
  kFailed,  // the worker tried and failed
};

// A task row, as read after a take-over of the placer lease.
struct CommittedTask {
  TaskId id;
  JobId job;
  EntryName entry;
  OwnerId owner;
  WorkerId worker;
  Resources resources;
  TaskState state = TaskState::kRunning;
  // When it was started, as seen on the local clock.
  TimePoint since;
};

}  // namespace chivewing
