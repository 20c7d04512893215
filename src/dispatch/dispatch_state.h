#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/latency_histogram.h"
#include "base/time.h"
#include "dispatch/advice_request_manager.h"
#include "dispatch/crash_policy.h"
#include "dispatch/dirty_jobs.h"
#include "dispatch/dispatch_options.h"
#include "dispatch/free_worker_index.h"
#include "dispatch/ready_steps.h"
#include "dispatch/refused_rows.h"
#include "dispatch/repeated_end_monitor.h"
#include "dispatch/run_table.h"
#include "dispatch/start_guard.h"
#include "dispatch/surplus_run.h"
#include "dispatch/tracked_job.h"
#include "dispatch/tracked_worker.h"

namespace chivewing {

// Event counters since the dispatcher was constructed.
struct DispatchCounters {
  std::uint64_t starts = 0;
  std::uint64_t start_refusals = 0;
  std::uint64_t start_retries = 0;
  std::uint64_t runs_done = 0;
  std::uint64_t runs_failed = 0;
  std::uint64_t runs_lost = 0;  // ended other than as done or failed
  // Ends that change no task: of a job or occurrence that is over, and of a
  // task that its job does not have here.
  std::uint64_t ends_after_their_job = 0;
  std::uint64_t ends_of_unknown_tasks = 0;
  std::uint64_t asks = 0;
  std::uint64_t asks_failed = 0;
  std::uint64_t polls = 0;
  std::uint64_t full_end_lists = 0;  // polls whose worker may have more ends
  // Counted as lost since whole lists of their worker lacked them.
  std::uint64_t unlisted_runs = 0;
  // Responses of incarnations that were not taken note of, since another host
  // may have been dispatching.
  std::uint64_t unmet_incarnations = 0;
  std::uint64_t invariant_breaches = 0;
  // Runs that were stopped because their job had been cancelled or had ended
  // before their start was confirmed.
  std::uint64_t unconfirmed_runs_stopped = 0;
  std::uint64_t runs_moved = 0;       // stopped since their worker leaves
  std::uint64_t orphans_stopped = 0;  // their job stayed unknown
  // Crashes of workers counted at a task, and tasks given up for them.
  std::uint64_t suspected_crashes = 0;
  std::uint64_t tasks_given_up = 0;
  std::uint64_t stop_retries = 0;
  std::uint64_t steps_tried = 0;       // attempts to place a waiting step
  std::uint64_t workers_examined = 0;  // looked at while deciding
  // Looked at for a poll that is due, a lease that may be over or a batch.
  std::uint64_t workers_attended = 0;
  // Looked at since a worker was lost or a take-over ended.
  std::uint64_t jobs_examined = 0;
};

// The whole state of the dispatcher, shared by JobManager, RunManager,
// WorkerManager and StepScheduler. Each of them updates it for one kind of
// event. Does no I/O apart from logging.
struct DispatchState {
  DispatchOptions options{};
  std::uint64_t fence = 0;
  // Until then no other host can be dispatching. A successor assumes that all
  // worker leases expire within one lease length after it, so no lease is
  // granted beyond that.
  TimePoint exclusive_until = TimePoint::max();
  bool fenced = false;  // true once a worker has seen a higher fence
  std::map<WorkerId, TrackedWorker> workers{};
  std::map<JobId, TrackedJob> jobs{};
  std::set<JobId> active_jobs{};     // those that have not ended
  std::set<JobId> repeating_jobs{};  // of those, the ones with occurrences
  RunTable runs{};
  // By worker, the run that was started alone there since its task may crash
  // workers.
  std::map<WorkerId, std::uint64_t> isolated_runs{};
  AdviceRequestManager advice{};
  FreeWorkerIndex free_workers{};
  // Workers that can hold more than at the last attempt to place steps.
  std::set<WorkerId> freed_workers{};
  ReadySteps ready{};
  DirtyJobs dirty{};
  RefusedRows refused_rows{};
  // Workers that may run tasks of an earlier dispatcher and have not listed
  // all of their runs and ends yet.
  std::set<WorkerId> unsynced_workers{};
  // One of them was lost before it had listed its runs.
  bool lost_unseen_worker = false;
  // Workers that are certainly gone and whose rows are still to be deleted.
  std::set<WorkerId> removed_workers{};
  // Registered workers whose rows are still to be written, and workers with
  // ends whose effects may not be in the table.
  std::set<WorkerId> workers_without_row{};
  std::set<WorkerId> workers_with_ends{};
  std::uint64_t last_poll = 0;
  DispatchCounters counts{};
  StartGuard start_guard{};
  RepeatedEndMonitor repeated_ends{};
  SurplusRunCounts surplus_runs{};  // stopped, of an earlier dispatcher
  // Time from a job's acceptance to its first acknowledged start.
  LatencyHistogram first_start{};

  TrackedWorker* FindWorker(const WorkerId& id);
  TrackedJob* FindJob(const JobId& id);
  // A worker has refused a command with this fence as outdated. A command sent
  // before this dispatcher reacquired its lease carries a lower fence than the
  // present one; its refusal does not prove that there is another dispatcher.
  void OnFencedResponse(std::uint64_t command_fence);
  // True while no other host can be dispatching.
  bool IsExclusive(TimePoint now) const { return now <= exclusive_until; }
  // The lease that a command sent at `now` may grant; none if 0 or less.
  std::chrono::milliseconds GrantableLease(TimePoint now) const;
  // Indices of the tasks of a step with `copies_allowed` whose only run is on
  // an unresponsive worker: a copy of each may be started elsewhere.
  std::vector<std::size_t> TasksToCopy(const StepKey& key) const;
  // True if the worker gets no other tasks, since one on probation runs there.
  bool IsIsolated(TimePoint now, const WorkerId& worker) const;
  std::size_t CountIsolated(TimePoint now) const;
  // True if one more task may be started alone on a worker.
  bool MayIsolate(TimePoint now) const {
    return CountIsolated(now) < MaxIsolatedWorkers(workers.size());
  }
  // To be called after each change of a worker's resources, registration or
  // condition: keeps `free_workers` and `freed_workers`.
  void UpdateWorker(TrackedWorker& worker);
  // To be called after each change of a worker's registration, its row or its
  // ends: keeps `workers_without_row` and `workers_with_ends`.
  void UpdateTableWork(const TrackedWorker& worker);
  void RemoveWorker(const WorkerId& id);
  // Logs and counts a violated invariant.
  void ReportInvariantBreach(const std::string& what);
};

}  // namespace chivewing
