#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/indices.h"
#include "placement/task_state.h"

namespace chivewing {

struct PlacerState;

// What the table and the workers say of tasks.
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

  // The worker is gone with all its tasks.
  void OnWorkerRemoved(TimePoint now, WorkerIndex worker, Effects& effects);
  // The worker takes no new tasks: moves its tasks away.
  void OnWorkerNotLive(TimePoint now, WorkerIndex worker, Effects& effects);
  // The worker takes tasks again.
  void OnWorkerLive(TimePoint now, WorkerIndex worker, Effects& effects);

 private:
  WorkerIndex FindOrAddWorker(const WorkerId& id);
  void MoveTaskAway(TimePoint now, TaskIndex index, Effects& effects);
  // Whether a committed task should still be launched.
  bool IsWanted(TaskIndex index) const;
  // A gang of which one task is not wanted is not launched at all.
  void RestartGangIfUnwanted(TaskIndex index);
  void RecordEnd(TimePoint now, TaskIndex index, TaskEnd end, Effects& effects);
  // Frees the room of a task and lets its job go on.
  void Finish(TimePoint now, TaskIndex index, bool done, Effects& effects);
  // A gang without one of its tasks is stopped and starts again as a whole.
  void RestartGang(TimePoint now, JobIndex index, Effects& effects);

  PlacerState& state_;
};

}  // namespace chivewing
