#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/indices.h"
#include "placement/task_state.h"

namespace chivewing {

struct PlacerState;

// Handles task events from table commits and workers. Changes the shared
// PlacerState and appends effects; no I/O.
class TaskEventHandler {
 public:
  explicit TaskEventHandler(PlacerState& state) : state_(state) {}

  void Restore(TimePoint now, const CommittedTask& row, Effects& effects);
  void RestoreDone(TimePoint now, const JobId& job, Effects& effects);
  void OnCommitSucceeded(TimePoint now, BatchId batch, Effects& effects);
  void OnCommitFailed(TimePoint now, BatchId batch, Effects& effects);

  void OnStarted(TimePoint now, const TaskId& id, Effects& effects);
  void OnStartFailed(TimePoint now, const TaskId& id, StartFailure failure,
                     Effects& effects);
  void OnEnded(TimePoint now, const TaskId& id, TaskEnd end, Effects& effects);
  void OnUnreachable(TimePoint now, const TaskId& id, Effects& effects);
  void OnLeaseExpired(TimePoint now, const TaskId& id, Effects& effects);

  // The worker was removed; all its tasks have ended.
  void OnWorkerRemoved(TimePoint now, WorkerIndex worker, Effects& effects);
  // The worker accepts no new tasks: moves its tasks to other workers.
  void OnWorkerNotLive(TimePoint now, WorkerIndex worker, Effects& effects);
  // The worker accepts tasks again.
  void OnWorkerLive(TimePoint now, WorkerIndex worker, Effects& effects);

 private:
  WorkerIndex FindOrAddWorker(const WorkerId& id);
  void MoveTaskAway(TimePoint now, TaskIndex index, Effects& effects);
  // Whether a task whose commit succeeded should still be launched.
  bool IsWanted(TaskIndex index) const;
  // When one task of a gang is no longer wanted, marks the gang to restart so
  // that no task of it is launched.
  void RestartGangIfUnwanted(TaskIndex index);
  void RecordEnd(TimePoint now, TaskIndex index, TaskEnd end, Effects& effects);
  // Frees the resources of an ended task and updates its job.
  void Finish(TimePoint now, TaskIndex index, bool done, Effects& effects);
  // Stops the remaining tasks of a gang that lost one, so that it starts again
  // as a whole.
  void RestartGang(TimePoint now, JobIndex index, Effects& effects);

  PlacerState& state_;
};

}  // namespace chivewing
