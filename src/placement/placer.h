#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/entry_statistics_table.h"
#include "placement/job_spec.h"
#include "placement/placer_options.h"
#include "placement/resources.h"
#include "placement/task_state.h"
#include "placement/wait_explainer.h"
#include "placement/worker_spec.h"

namespace chivewing {

struct PlacerState;
class JobEventHandler;
class Scheduler;
class TaskEventHandler;
class UsageEnforcer;
class WorkerEventHandler;

// Totals for the state dump.
struct PlacerSummary {
  std::size_t workers = 0;
  std::size_t live_workers = 0;
  std::size_t quarantined_workers = 0;
  std::size_t jobs = 0;
  std::size_t waiting_jobs = 0;
  std::size_t tasks = 0;
  Resources capacity;
  Resources reserved;
};

// One worker, for the state dump.
struct WorkerSummary {
  WorkerSpec spec;
  Resources reserved;
  std::size_t tasks = 0;
  bool quarantined = false;
};

// Decides which task runs on which worker of one availability zone. Performs no
// I/O, starts no thread and reads no clock: each function takes the current
// time and an event, and appends effects for the caller to carry out.
//
// The resources of a task are reserved from the decision until its end is
// confirmed: CommitFailed, TaskStartFailed, TaskEnded, TaskLeaseExpired,
// RemoveWorker, or CommitSucceeded when it deletes the row.
//
// A new lease holder calls UpsertWorker for all workers, SubmitJob for all
// unfinished jobs and RestoreTask for all task rows before the first Decide.
class Placer {
 public:
  // `epoch` is the epoch of the placer lease. Ids of new tasks contain it, so
  // that successive lease holders never reuse an id.
  Placer(PlacerOptions options, std::uint64_t epoch);
  ~Placer();
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;

  // Adds a worker, or changes its state, capacity or rack.
  void UpsertWorker(TimePoint now, const WorkerSpec& worker, Effects& effects);
  // Removes a worker that is confirmed gone; all its tasks count as ended.
  void RemoveWorker(TimePoint now, const WorkerId& worker, Effects& effects);

  // Adds a job, or replaces the specification of a known one except `spread`. A
  // new job is refused with kNeverFits when workers are known and a task (or
  // the whole gang) would not fit on them even if they were empty.
  void SubmitJob(TimePoint now, const JobSpec& job, Effects& effects);
  // Cancels jobs: those without tasks finish at once, the tasks of the others
  // are stopped.
  void CancelJobs(TimePoint now, std::span<const JobId> jobs, Effects& effects);
  // An owner without a quota is not limited.
  void SetQuota(const OwnerId& owner, const Resources& quota);
  void RemoveQuota(const OwnerId& owner);

  // Restores a task from its committed row. Its resources are reserved even if
  // its worker is not listed or too small. A task whose job is unknown is
  // stopped.
  void RestoreTask(TimePoint now, const CommittedTask& task, Effects& effects);
  // Restores a task row that records one successfully completed task of a job.
  void RestoreDoneTask(TimePoint now, const JobId& job, Effects& effects);

  // Decides up to `max_starts` task starts (a gang may exceed it, because it is
  // committed as a whole) and the preemptions that they need. The starts form
  // one batch; returns its id, or nullopt when there are no starts.
  std::optional<BatchId> Decide(TimePoint now, std::size_t max_starts,
                                Effects& effects);
  // The rows of a batch are committed: launches its tasks, or deletes the rows
  // of those that are no longer needed.
  void CommitSucceeded(TimePoint now, BatchId batch, Effects& effects);
  // The rows of a batch are confirmed not to be in the table: frees their
  // resources.
  void CommitFailed(TimePoint now, BatchId batch, Effects& effects);

  // Task events. An unknown task id is ignored.
  void OnTaskStarted(TimePoint now, const TaskId& task, Effects& effects);
  void TaskStartFailed(TimePoint now, const TaskId& task, StartFailure failure,
                       Effects& effects);
  void TaskEnded(TimePoint now, const TaskId& task, TaskEnd end,
                 Effects& effects);
  // The worker of the task is unresponsive and the task may still run. Service
  // instances are replaced at once; other tasks only after their end is
  // confirmed.
  void OnTaskUnreachable(TimePoint now, const TaskId& task, Effects& effects);
  // The lease of the task has expired: the task is confirmed not to run.
  void TaskLeaseExpired(TimePoint now, const TaskId& task, Effects& effects);

  // Measured resource usage of a task; the report may be delayed.
  void ReportUsage(TimePoint now, const TaskId& task, const Resources& used,
                   Effects& effects);
  // Result of a ProbeWorker effect.
  void OnProbeCompleted(TimePoint now, const WorkerId& worker, bool succeeded,
                        Effects& effects);

  // Why the job waits; kOk when it does not wait.
  WaitReason GetWaitReason(TimePoint now, const JobId& job) const;
  PlacerSummary Summary() const;
  std::vector<WorkerSummary> Workers() const;
  // Learned resource usage and run times of each catalogue entry.
  std::vector<EntryStatistics> Statistics() const;
  // Verifies the internal state and aborts the process when it is inconsistent.
  void CheckInvariants() const;

 private:
  std::unique_ptr<PlacerState> state_;
  std::unique_ptr<Scheduler> scheduler_;
  std::unique_ptr<JobEventHandler> job_event_handler_;
  std::unique_ptr<TaskEventHandler> task_event_handler_;
  std::unique_ptr<WorkerEventHandler> worker_event_handler_;
  std::unique_ptr<UsageEnforcer> usage_;
};

}  // namespace chivewing
