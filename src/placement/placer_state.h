#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/entry_statistics_table.h"
#include "placement/indices.h"
#include "placement/job_spec.h"
#include "placement/placer_options.h"
#include "placement/quota_table.h"
#include "placement/reservation_table.h"
#include "placement/slot_table.h"
#include "placement/task_state.h"
#include "placement/waiting_job_queue.h"
#include "placement/worker_health_tracker.h"
#include "placement/worker_pool.h"

namespace chivewing {

// A task that holds resources.
struct Task {
  TaskId id;
  // kNoIndex when the job is unknown or was removed.
  JobIndex job = kNoIndex;
  EntryName entry;
  OwnerId owner;
  WorkerIndex worker = kNoIndex;
  Resources resources;
  TaskState state = TaskState::kCommitPending;
  BatchId batch = 0;
  // When the task was placed, launched or first seen running, became
  // unreachable, or was asked to stop.
  TimePoint state_since;
  TimePoint start_time;
  // True when the task no longer counts as an instance of its job, because it
  // stops or another instance is to replace it.
  bool replaced = false;
  bool throttled = false;
  // True after a report found the worker out of processors and the task above
  // its size: the next such report stops the task.
  bool stop_if_still_over = false;
  std::optional<Resources> reported_usage;
};

// A submitted job.
struct Job {
  JobSpec spec;
  int completed_tasks = 0;
  bool cancelled = false;
  // True when the job was found not to fit on the live workers even if they
  // were empty.
  bool unplaceable = false;
  // WorkerPool::worker_set_version() when that was last checked.
  std::uint64_t checked_worker_set_version = 0;
  // Earliest time of the next reservation plan.
  TimePoint next_plan_time;
  // True for a gang that lost a task: it starts again when all other tasks have
  // ended.
  bool restarting = false;
  std::vector<TaskIndex> tasks;
  // Tasks that count towards the desired number of instances.
  int active_instances = 0;
  // Active instances by rack index; maintained only for spread jobs.
  std::vector<int> rack_instances;
  // Workers on which tasks of the job failed and none has succeeded since.
  std::vector<WorkerIndex> avoided_workers;
  // Position in the waiting queue; empty when the job does not wait.
  std::optional<WaitingJobPosition> queue_position;
};

// Task starts that are committed to the table in one transaction.
struct CommitBatch {
  std::vector<TaskIndex> tasks;
  // Tasks whose worker was removed before the commit was confirmed: their rows
  // are deleted if the commit succeeds.
  std::vector<TaskId> removed_tasks;
};

// Resources freed by preempted tasks, held for one urgent task.
struct PreemptionClaim {
  JobIndex job = kNoIndex;
  WorkerIndex worker = kNoIndex;
  Resources amount;
};

// The complete state of a Placer, shared by the event handlers and the
// scheduler. Its functions keep the sums of workers, owners and jobs
// consistent; the placement decisions are made by the classes that use it.
struct PlacerState {
  PlacerState(PlacerOptions placer_options, std::uint64_t lease_epoch);

  // Adds a task and reserves its resources. Aborts the process when they do not
  // fit, unless `allow_overcommit` is true because the task may already run.
  TaskIndex AddTask(Task task, bool allow_overcommit);
  // Removes a task whose end is confirmed and frees its resources.
  void FinishTask(TaskIndex task);
  // Stops or resumes counting the task as an active instance of its job.
  void MarkReplaced(TaskIndex task);
  void UnmarkReplaced(TaskIndex task);

  // Number of tasks of the job that should be started.
  int MissingTasks(const Job& job) const;
  // Adds the job to the waiting queue or removes it, depending on its missing
  // tasks and its backoff.
  void UpdateQueueMembership(TimePoint now, JobIndex index);
  // Removes a job; its tasks continue without a job until they end.
  void RemoveJob(JobIndex index);
  // Removes the job and appends JobFinished when it is complete; otherwise
  // updates its place in the waiting queue.
  void FinishJobIfDone(TimePoint now, JobIndex index, Effects& effects);

  // Appends one StopTask effect; does nothing when the task is already
  // stopping.
  void RequestTaskStop(TimePoint now, TaskIndex task, StopMode mode,
                       std::string_view reason, Effects& effects);
  // kCheckpoint when the job supports it, otherwise kStop.
  StopMode PreferredStopMode(const Task& task) const;

  // When the task is expected to end; nullopt for services and singletons.
  std::optional<TimePoint> ExpectedEnd(TimePoint now, const Task& task) const;
  Duration ExpectedRunTime(const JobSpec& job) const;

  void AddClaim(PreemptionClaim claim);
  void RemoveClaim(std::size_t claim);
  void RemoveClaimsOfJob(JobIndex job);
  // Removes the claims of the job in excess of its missing tasks.
  void TrimClaims(JobIndex job);
  void RemoveClaimsOnWorker(WorkerIndex worker);

  // Applies the quarantine and readmission effects from index `first` on to the
  // worker pool.
  void ApplyQuarantineChanges(const Effects& effects, std::size_t first);
  // Records the result of a task for its job and worker.
  void RecordTaskFailure(TimePoint now, const Task& task, Effects& effects);
  void RecordTaskSuccess(const Task& task);
  // Called when a worker is removed, because its index may be reused.
  void RemoveFromAvoidedWorkers(WorkerIndex worker);

  TaskId NewTaskId(const JobId& job);
  std::size_t CountLiveWorkers() const;
  // Number of racks with a worker that accepts tasks.
  std::size_t CountUsableRacks() const;
  // Explains why the job does not fit on the live workers even if they were
  // empty; an empty string when it fits.
  std::string ExplainNeverFits(const JobSpec& job) const;

  PlacerOptions options;
  std::uint64_t epoch = 0;
  WorkerPool workers;
  SlotTable<TaskId, Task> tasks;
  SlotTable<JobId, Job> jobs;
  QuotaTable quotas;
  WaitingJobQueue queue;
  EntryStatisticsTable statistics;
  WorkerHealthTracker health;
  // Task starts whose commit is unconfirmed.
  std::unordered_map<BatchId, CommitBatch> batches;
  // Jobs in backoff, by the time of their next retry.
  std::multimap<TimePoint, JobId> jobs_in_backoff;
  ReservationTable reservations{workers};
  std::vector<PreemptionClaim> claims;
  std::uint64_t next_task_number = 1;
  BatchId next_batch_id = 1;
  std::uint64_t next_queue_sequence = 1;

 private:
  void UpdatePreemptionHold(WorkerIndex worker);
  void AdjustInstanceCount(Job& job, WorkerIndex worker, int change);
};

}  // namespace chivewing
