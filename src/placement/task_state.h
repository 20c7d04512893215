#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/resources.h"

namespace chivewing {

// State of a task that holds resources; they stay reserved in every state.
enum class TaskState {
  kCommitPending,  // placed; the commit of its row is unconfirmed
  kLaunched,       // row committed; the worker has not confirmed the start
  kRunning,
  kUnreachable,  // its worker is unresponsive; the task may still run
  kStopping,     // a stop was requested and is not confirmed
};

// How a task ended, once its end is confirmed.
enum class TaskEnd {
  kDone,
  kFailed,
  kStopped,
  kCheckpointed,
};

// Why a worker did not start a task. In both cases the task is confirmed not to
// run.
enum class StartFailure {
  kNoRoom,  // the worker has fewer free resources than were reserved
  kFailed,  // the worker tried to start the task and failed
};

// A committed task row, as read by a new holder of the placer lease.
struct CommittedTask {
  TaskId id;
  JobId job;
  EntryName entry;
  OwnerId owner;
  WorkerId worker;
  Resources resources;
  TaskState state = TaskState::kRunning;
  // When the task started, on the local clock.
  TimePoint since;
};

}  // namespace chivewing
