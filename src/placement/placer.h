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

// Counts for the state dump.
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

// Decides which task runs on which worker of one zone. Does no input or output
// and reads no clock: each function takes the present time and an event, and
// appends typed effects for the caller to carry out.
//
// Resources of a task are reserved from the decision until its end is certain:
// CommitFailed, TaskStartFailed, TaskEnded, TaskLeaseExpired, or RemoveWorker.
//
// After a take-over, call UpsertWorker for all workers, SubmitJob for all jobs
// that are not finished, RestoreTask for all task rows, and only then Decide.
class Placer {
 public:
  // `epoch` is the epoch of the placer lease; ids of new tasks contain it, so
  // that they are never used twice.
  Placer(PlacerOptions options, std::uint64_t epoch);
  ~Placer();
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;

  // Adds a worker, or changes its state, capacity or rack.
  void UpsertWorker(TimePoint now, const WorkerSpec& worker, Effects& effects);
  // The worker is certainly gone: all its tasks have ended.
  void RemoveWorker(TimePoint now, const WorkerId& worker, Effects& effects);

  // Adds a job, or changes the number of tasks, size and priority of a known
  // one. Refused with kNeverFits when workers are known and none could hold a
  // task (or all of a gang) even when empty.
  void SubmitJob(TimePoint now, const JobSpec& job, Effects& effects);
  // Drops waiting jobs in one pass, and stops the tasks of the others.
  void CancelJobs(TimePoint now, std::span<const JobId> jobs, Effects& effects);
  // An owner without a quota is not limited.
  void SetQuota(const OwnerId& owner, const Resources& quota);
  void RemoveQuota(const OwnerId& owner);

  // A committed task row. Its resources are occupied at once, also on a worker
  // that is not listed (yet). A task whose job is not known is stopped.
  void RestoreTask(TimePoint now, const CommittedTask& task, Effects& effects);
  // A task row that says that one task of a job ended well.
  void RestoreDoneTask(TimePoint now, const JobId& job, Effects& effects);

  // Decides up to `max_starts` starts (a gang may exceed it, so that it is
  // committed whole) and the stops that go with them. The starts form one
  // batch; returns its id, or nothing when there is no start.
  std::optional<BatchId> Decide(TimePoint now, std::size_t max_starts,
                                Effects& effects);
  // The rows of a batch are in the table: launches its tasks, or drops those
  // that were cancelled since.
  void CommitSucceeded(TimePoint now, BatchId batch, Effects& effects);
  // The rows of a batch are certainly not in the table: frees the resources.
  void CommitFailed(TimePoint now, BatchId batch, Effects& effects);

  // Events of one task. An unknown task id is ignored.
  void OnTaskStarted(TimePoint now, const TaskId& task, Effects& effects);
  void TaskStartFailed(TimePoint now, const TaskId& task, StartFailure failure,
                       Effects& effects);
  void TaskEnded(TimePoint now, const TaskId& task, TaskEnd end,
                 Effects& effects);
  // Its worker is silent: the task may still run. Instances of a service are
  // replaced at once, everything else waits for certainty.
  void OnTaskUnreachable(TimePoint now, const TaskId& task, Effects& effects);
  // The lease of the task has run out for certain: it does not run any more.
  void TaskLeaseExpired(TimePoint now, const TaskId& task, Effects& effects);

  // Measured use of a task, from a report that may lag.
  void ReportUsage(TimePoint now, const TaskId& task, const Resources& used,
                   Effects& effects);
  // Answer to ProbeWorker.
  void OnProbeCompleted(TimePoint now, const WorkerId& worker, bool good,
                        Effects& effects);

  // Why the job waits, in one sentence; kOk when it does not wait.
  WaitReason GetWaitReason(TimePoint now, const JobId& job) const;
  PlacerSummary Summary() const;
  std::vector<WorkerSummary> Workers() const;
  // Learned sizes and run times of each catalogue entry.
  std::vector<EntryStatistics> Statistics() const;
  // Recomputes all sums and ends the process when one is wrong.
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
