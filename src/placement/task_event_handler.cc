#include "placement/task_event_handler.h"

#include <vector>

#include "placement/check.h"
#include "placement/placer_state.h"
#include "placement/service_scale_down.h"

namespace chivewing {

void TaskEventHandler::Restore(TimePoint now, const CommittedTask& row,
                               Effects& effects) {
  if (state_.tasks.Find(row.id) != kNoIndex) return;
  const WorkerIndex worker = FindOrAddWorker(row.worker);
  Task task;
  task.id = row.id;
  task.job = state_.jobs.Find(row.job);
  task.entry = row.entry;
  task.owner = row.owner;
  task.worker = worker;
  task.resources = row.resources;
  task.state =
      row.state == TaskState::kCommitPending ? TaskState::kLaunched : row.state;
  task.state_since = row.since;
  task.start_time = row.since;
  const TaskIndex index =
      state_.AddTask(std::move(task), /*allow_overcommit=*/true);
  const Task& added = state_.tasks.at(index);
  if (added.job == kNoIndex) {
    state_.RequestTaskStop(now, index, StopMode::kStop, "its job is unknown",
                           effects);
    return;
  }
  const bool not_live =
      state_.workers.at(worker).spec.state != WorkerState::kLive;
  if (not_live) MoveTaskAway(now, index, effects);
  ScaleDownService(state_, now, added.job, effects);
  state_.UpdateQueueMembership(now, added.job);
}

WorkerIndex TaskEventHandler::FindOrAddWorker(const WorkerId& id) {
  const WorkerIndex known = state_.workers.Find(id);
  if (known != kNoIndex) return known;
  // The worker list may lag, so the task may still run and its job must wait
  // for it.
  WorkerSpec unlisted;
  unlisted.id = id;
  unlisted.state = WorkerState::kOutOfUse;
  return state_.workers.Upsert(unlisted);
}

void TaskEventHandler::RestoreDone(TimePoint now, const JobId& job,
                                   Effects& effects) {
  const JobIndex index = state_.jobs.Find(job);
  if (index == kNoIndex) return;
  ++state_.jobs.at(index).completed_tasks;
  state_.FinishJobIfDone(now, index, effects);
}

void TaskEventHandler::OnCommitSucceeded(TimePoint now, BatchId batch,
                                         Effects& effects) {
  const auto found = state_.batches.find(batch);
  if (found == state_.batches.end()) return;
  const CommitBatch committed = std::move(found->second);
  state_.batches.erase(found);
  for (const TaskId& task : committed.removed_tasks) {
    effects.emplace_back(DeleteTaskRow{task});
  }
  for (const TaskIndex index : committed.tasks) RestartGangIfUnwanted(index);
  for (const TaskIndex index : committed.tasks) {
    Task& task = state_.tasks.at(index);
    if (!IsWanted(index)) {
      effects.emplace_back(DeleteTaskRow{task.id});
      Finish(now, index, /*done=*/false, effects);
      continue;
    }
    task.state = TaskState::kLaunched;
    task.state_since = now;
    task.start_time = now;
    effects.emplace_back(LaunchTask{task.id, state_.jobs.at(task.job).spec.id,
                                    state_.workers.at(task.worker).spec.id});
  }
}

void TaskEventHandler::OnCommitFailed(TimePoint now, BatchId batch,
                                      Effects& effects) {
  const auto found = state_.batches.find(batch);
  if (found == state_.batches.end()) return;
  const CommitBatch failed = std::move(found->second);
  state_.batches.erase(found);
  for (const TaskIndex index : failed.tasks) {
    const JobIndex job = state_.tasks.at(index).job;
    state_.FinishTask(index);
    if (job != kNoIndex) state_.FinishJobIfDone(now, job, effects);
  }
}

void TaskEventHandler::OnStarted(TimePoint now, const TaskId& id,
                                 Effects& effects) {
  const TaskIndex index = state_.tasks.Find(id);
  if (index == kNoIndex) return;
  Task& task = state_.tasks.at(index);
  if (task.state == TaskState::kLaunched) {
    task.state = TaskState::kRunning;
    task.state_since = now;
    task.start_time = now;
  } else if (task.state == TaskState::kUnreachable) {
    // The worker was only unresponsive.
    task.state = TaskState::kRunning;
    if (state_.workers.at(task.worker).spec.state == WorkerState::kLive) {
      state_.UnmarkReplaced(index);
    }
  }
  if (task.job == kNoIndex) return;
  ScaleDownService(state_, now, task.job, effects);
  state_.UpdateQueueMembership(now, task.job);
}

void TaskEventHandler::OnStartFailed(TimePoint now, const TaskId& id,
                                     StartFailure failure, Effects& effects) {
  const TaskIndex index = state_.tasks.Find(id);
  if (index == kNoIndex) return;
  Check(state_.tasks.at(index).state != TaskState::kCommitPending,
        "a start failure was reported for a task whose commit is unconfirmed");
  if (failure == StartFailure::kFailed) {
    state_.RecordTaskFailure(now, state_.tasks.at(index), effects);
  }
  Finish(now, index, /*done=*/false, effects);
}

void TaskEventHandler::OnEnded(TimePoint now, const TaskId& id, TaskEnd end,
                               Effects& effects) {
  const TaskIndex index = state_.tasks.Find(id);
  if (index == kNoIndex) return;
  Check(state_.tasks.at(index).state != TaskState::kCommitPending,
        "an end was reported for a task whose commit is unconfirmed");
  RecordEnd(now, index, end, effects);
  Finish(now, index, end == TaskEnd::kDone, effects);
}

void TaskEventHandler::OnUnreachable(TimePoint now, const TaskId& id,
                                     Effects& /*effects*/) {
  const TaskIndex index = state_.tasks.Find(id);
  if (index == kNoIndex) return;
  Task& task = state_.tasks.at(index);
  const bool may_run =
      task.state == TaskState::kLaunched || task.state == TaskState::kRunning;
  if (!may_run) return;
  task.state = TaskState::kUnreachable;
  task.state_since = now;
  if (task.job == kNoIndex) return;
  if (state_.jobs.at(task.job).spec.job_class != JobClass::kService) return;
  state_.MarkReplaced(index);
  state_.UpdateQueueMembership(now, task.job);
}

void TaskEventHandler::OnLeaseExpired(TimePoint now, const TaskId& id,
                                      Effects& effects) {
  const TaskIndex index = state_.tasks.Find(id);
  if (index == kNoIndex) return;
  if (state_.tasks.at(index).state == TaskState::kCommitPending) return;
  Finish(now, index, /*done=*/false, effects);
}

void TaskEventHandler::OnWorkerRemoved(TimePoint now, WorkerIndex worker,
                                       Effects& effects) {
  const std::vector<TaskIndex> tasks = state_.workers.at(worker).tasks;
  for (const TaskIndex index : tasks) {
    Task& task = state_.tasks.at(index);
    if (task.state == TaskState::kCommitPending) {
      CommitBatch& batch = state_.batches[task.batch];
      std::erase(batch.tasks, index);
      batch.removed_tasks.push_back(task.id);
    }
    // Prevents a StopTask effect for a worker that no longer exists.
    task.state = TaskState::kStopping;
  }
  for (const TaskIndex index : tasks) {
    Finish(now, index, /*done=*/false, effects);
  }
}

void TaskEventHandler::OnWorkerNotLive(TimePoint now, WorkerIndex worker,
                                       Effects& effects) {
  const std::vector<TaskIndex> tasks = state_.workers.at(worker).tasks;
  for (const TaskIndex task : tasks) MoveTaskAway(now, task, effects);
}

void TaskEventHandler::OnWorkerLive(TimePoint now, WorkerIndex worker,
                                    Effects& effects) {
  for (const TaskIndex index : state_.workers.at(worker).tasks) {
    const Task& task = state_.tasks.at(index);
    const bool runs =
        task.state == TaskState::kRunning || task.state == TaskState::kLaunched;
    if (!runs || task.job == kNoIndex) continue;
    state_.UnmarkReplaced(index);
    ScaleDownService(state_, now, task.job, effects);
    state_.UpdateQueueMembership(now, task.job);
  }
}

void TaskEventHandler::MoveTaskAway(TimePoint now, TaskIndex index,
                                    Effects& effects) {
  const Task& task = state_.tasks.at(index);
  const bool runs =
      task.state == TaskState::kRunning || task.state == TaskState::kLaunched;
  if (!runs || task.job == kNoIndex) return;
  const JobIndex job_index = task.job;
  const JobSpec& spec = state_.jobs.at(job_index).spec;
  const std::string_view reason = "its worker is leaving";
  switch (spec.job_class) {
    case JobClass::kService:
      // It keeps running until another instance runs.
      state_.MarkReplaced(index);
      break;
    case JobClass::kSingleton:
      state_.RequestTaskStop(now, index, state_.PreferredStopMode(task), reason,
                             effects);
      break;
    case JobClass::kBatch:
      if (!spec.checkpointable) break;
      state_.RequestTaskStop(now, index, StopMode::kCheckpoint, reason,
                             effects);
      break;
    case JobClass::kGang:
      if (spec.checkpointable) RestartGang(now, job_index, effects);
      break;
  }
  state_.UpdateQueueMembership(now, job_index);
}

bool TaskEventHandler::IsWanted(TaskIndex index) const {
  const Task& task = state_.tasks.at(index);
  if (task.job == kNoIndex) return false;
  const Job& job = state_.jobs.at(task.job);
  if (job.cancelled || job.restarting) return false;
  return state_.workers.at(task.worker).spec.state == WorkerState::kLive;
}

void TaskEventHandler::RestartGangIfUnwanted(TaskIndex index) {
  const Task& task = state_.tasks.at(index);
  if (task.job == kNoIndex || IsWanted(index)) return;
  Job& job = state_.jobs.at(task.job);
  if (job.spec.job_class == JobClass::kGang) job.restarting = true;
}

void TaskEventHandler::RecordEnd(TimePoint now, TaskIndex index, TaskEnd end,
                                 Effects& effects) {
  const Task& task = state_.tasks.at(index);
  const Duration ran = now - task.start_time;
  if (end == TaskEnd::kDone) state_.statistics.AddRun(task.entry, ran);
  const bool proven = ran >= state_.options.health.min_successful_run_time;
  if (end == TaskEnd::kDone || (end == TaskEnd::kFailed && proven)) {
    state_.RecordTaskSuccess(task);
    return;
  }
  if (end == TaskEnd::kFailed) state_.RecordTaskFailure(now, task, effects);
}

void TaskEventHandler::Finish(TimePoint now, TaskIndex index, bool done,
                              Effects& effects) {
  const JobIndex job_index = state_.tasks.at(index).job;
  state_.FinishTask(index);
  if (job_index == kNoIndex) return;
  Job& job = state_.jobs.at(job_index);
  if (done) {
    ++job.completed_tasks;
  } else if (job.spec.job_class == JobClass::kGang) {
    RestartGang(now, job_index, effects);
  }
  state_.FinishJobIfDone(now, job_index, effects);
}

void TaskEventHandler::RestartGang(TimePoint now, JobIndex index,
                                   Effects& effects) {
  Job& job = state_.jobs.at(index);
  if (job.cancelled || job.restarting) return;
  job.restarting = true;
  const std::vector<TaskIndex> tasks = job.tasks;
  for (const TaskIndex task : tasks) {
    const Task& known = state_.tasks.at(task);
    // The row of a task whose commit is unconfirmed is deleted once the commit
    // succeeds.
    if (known.state == TaskState::kCommitPending) continue;
    state_.RequestTaskStop(now, task, state_.PreferredStopMode(known),
                           "the gang lost a task", effects);
  }
}

}  // namespace chivewing
