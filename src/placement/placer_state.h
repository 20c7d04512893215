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
  // kNoIndex when its job is not known (any more).
  JobIndex job = kNoIndex;
  EntryName entry;
  OwnerId owner;
  WorkerIndex worker = kNoIndex;
  Resources resources;
  TaskState state = TaskState::kCommitPending;
  BatchId batch = 0;
  // When it was decided, launched, started or told to stop.
  TimePoint state_since;
  TimePoint start_time;
  // An instance of a service that another one is to take the place of.
  bool replaced = false;
  bool throttled = false;
  // Throttled while its worker was out of processors: stopped if that goes on.
  bool stop_if_still_over = false;
  std::optional<Resources> reported_usage;
};

// A submitted job.
struct Job {
  JobSpec spec;
  int completed_tasks = 0;
  bool cancelled = false;
  // Reported as fitting no worker.
  bool unplaceable = false;
  // WorkerPool::fleet_version() at the last look at that.
  std::uint64_t checked_worker_set_version = 0;
  // No reservation is planned before this time.
  TimePoint next_plan_time;
  // A gang that lost a task: starts again when all others have stopped.
  bool restarting = false;
  std::vector<TaskIndex> tasks;
  // Tasks that count towards the wanted number of instances.
  int active_instances = 0;
  // Instances by rack, kept for spread jobs.
  std::vector<int> rack_instances;
  // Workers on which its tasks failed since the last success.
  std::vector<WorkerIndex> avoided_workers;
  // Place in the lanes while it waits.
  std::optional<WaitingJobPosition> queue_position;
};

// Starts that are committed to the table together.
struct CommitBatch {
  std::vector<TaskIndex> tasks;
  // Tasks whose worker went away since: rows to remove if they are committed.
  std::vector<TaskId> removed_tasks;
};

// Room that victims are leaving, kept for an urgent task.
struct PreemptionClaim {
  JobIndex job = kNoIndex;
  WorkerIndex worker = kNoIndex;
  Resources amount;
};

// Everything a Placer knows. Its functions keep the sums of workers, owners and
// jobs in step; the classes beside it decide.
struct PlacerState {
  PlacerState(PlacerOptions placer_options, std::uint64_t lease_epoch);

  // Creates a task in room that fits, or, for `occupy`, that is taken already.
  TaskIndex AddTask(Task task, bool allow_overcommit);
  // The task certainly holds nothing any more: frees its room.
  void FinishTask(TaskIndex task);
  // The task no longer counts as an instance of its job, or does so again.
  void MarkReplaced(TaskIndex task);
  void UnmarkReplaced(TaskIndex task);

  // Tasks of the job that may be started now.
  int MissingTasks(const Job& job) const;
  // Puts the job into the lanes or takes it out, as its tasks require.
  void UpdateQueueMembership(TimePoint now, JobIndex index);
  // Forgets a job; its tasks go on as orphans until they end.
  void RemoveJob(JobIndex index);
  // Removes the job when nothing of it is left to do; says so.
  void FinishJobIfDone(TimePoint now, JobIndex index, Effects& effects);

  // Tells the worker to stop the task, once.
  void RequestTaskStop(TimePoint now, TaskIndex task, StopMode mode,
                       std::string_view reason, Effects& effects);
  // Checkpoints where the job can, otherwise stops.
  StopMode PreferredStopMode(const Task& task) const;

  // When the task is expected to end; nothing for services.
  std::optional<TimePoint> ExpectedEnd(TimePoint now, const Task& task) const;
  Duration ExpectedRunTime(const JobSpec& job) const;

  void AddClaim(PreemptionClaim claim);
  void RemoveClaim(std::size_t claim);
  void RemoveClaimsOfJob(JobIndex job);
  // Drops claims of the job beyond the tasks that it misses.
  void TrimClaims(JobIndex job);
  void RemoveClaimsOnWorker(WorkerIndex worker);

  // Closes or opens the workers that new health effects, from `first` on, name.
  void ApplyQuarantineChanges(const Effects& effects, std::size_t first);
  // Records how a task went on its worker.
  void RecordTaskFailure(TimePoint now, const Task& task, Effects& effects);
  void RecordTaskSuccess(const Task& task);
  // The worker's index may be used for another one from now on.
  void RemoveFromAvoidedWorkers(WorkerIndex worker);

  TaskId NewTaskId(const JobId& job);
  std::size_t CountLiveWorkers() const;
  // Racks with a worker that takes tasks.
  std::size_t CountUsableRacks() const;
  // The first dimension in which no usable worker could hold the job even when
  // empty, as a sentence; empty when it could be held.
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
  // Starts that wait for their commit.
  std::unordered_map<BatchId, CommitBatch> batches;
  // Jobs that are held back, by the time of their next try.
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
