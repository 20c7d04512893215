#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/job_manager.h"
#include "dispatch/run_manager.h"
#include "dispatch/step_scheduler.h"
#include "dispatch/step_wait_reporter.h"
#include "dispatch/worker_manager.h"

namespace chivewing {

// Rows that have to be written to the table before callers may see the progress
// and before workers may forget the ends.
struct ProgressWriteBatch {
  std::vector<std::pair<JobId, JobProgress>> jobs{};
  // TrackedJob::suspicions of those jobs that have any.
  std::map<JobId, std::size_t> suspicions{};
  std::vector<WorkerRegistration> enrolled{};  // need a row before any task
  std::set<WorkerId> removed_workers{};        // whose rows are deleted
  // Highest processed end by worker: persisted once the batch is written.
  std::map<WorkerId, std::uint64_t> ends{};
  // The incarnations whose ends they are.
  std::map<WorkerId, std::chrono::milliseconds> incarnations{};

  std::size_t row_count() const {
    return jobs.size() + enrolled.size() + removed_workers.size();
  }
  // True if there is nothing to write: the ends count as persisted at once.
  bool empty() const { return row_count() == 0; }
};

// Schedules the tasks of all jobs on all workers. Inputs are jobs,
// registrations and the responses of workers and of the advice service; outputs
// are the effects of Decide and the rows of TakeBatch. Runs on the one entry
// host that holds the dispatcher's lease; the fence rises with each holder.
// Does no I/O apart from logging, and has no thread: the caller passes the
// present time and carries out the effects.
class Dispatcher {
 public:
  Dispatcher(DispatchOptions options, std::uint64_t fence);

  // The same holder has reacquired its lease with a higher fence.
  void set_fence(std::uint64_t fence) { state_.fence = fence; }
  // Until then no other host can be dispatching.
  void set_sole_until(TimePoint until) { state_.exclusive_until = until; }
  std::uint64_t fence() const { return state_.fence; }
  // True once a worker has seen a higher fence: there is another dispatcher.
  bool fenced_off() const { return state_.fenced; }

  // `accepted_at` is when its caller was told so, on this host's clock.
  // `uncertain` is true if an earlier dispatcher may have started tasks of the
  // job that are not known yet.
  void AddJob(TimePoint now, TimePoint accepted_at, JobRecord record,
              const std::optional<JobProgress>& progress, bool uncertain);
  void CancelJob(const JobId& job);
  void RegisterWorker(TimePoint now, const WorkerRegistration& registration);
  void UnregisterWorker(const WorkerId& worker);
  // A worker to which an earlier dispatcher may have given tasks. By
  // `predecessor_ended_by` that one had lost its lease.
  void AdoptWorker(TimePoint now, TimePoint predecessor_ended_by,
                   const WorkerRegistration& registration);
  // The row of a worker that is not tracked is of no use to anybody.
  void RemoveWorkerRow(const WorkerId& worker) {
    state_.removed_workers.insert(worker);
  }
  // To be called after the last AdoptWorker: without adopted workers no job is
  // uncertain.
  void EndTakeOver();
  void set_advice_hosts(std::set<HostId> hosts);

  void OnStartResponse(TimePoint now, std::uint64_t run_id,
                       const CommandResponse& response);
  void OnStopAnswer(TimePoint now, std::uint64_t run_id, const WorkerId& worker,
                    const CommandResponse& response);
  void OnPollResponse(TimePoint now, const WorkerId& worker,
                      std::uint64_t poll_id, const PollResponse& response);
  void OnAdviceResponse(TimePoint now, std::uint64_t request_id,
                        const AdviceResponse& response);

  // Appends to `out` all messages that are due at `now`; `wall` is the time of
  // day since 1970. Returns the latest time of the next call.
  TimePoint Decide(TimePoint now, std::chrono::milliseconds wall,
                   DispatchEffects& out);

  bool HasDirty() const;
  // Takes at most `max_rows` rows to write or delete. Each batch must be
  // completed by OnSaved, OnNotSaved or OnRefused.
  ProgressWriteBatch TakeBatch(std::size_t max_rows);
  void OnSaved(TimePoint now, const ProgressWriteBatch& batch);
  // The batch may be written later.
  void OnNotSaved(const ProgressWriteBatch& batch);
  // The table will never take the batch as it is: it holds a row at fault.
  void OnRefused(TimePoint now, const ProgressWriteBatch& batch);

  const DispatchState& state() const { return state_; }
  // What a step waits for; nullopt if none of its tasks waits.
  std::optional<StepWaitDetails> ReadWait(TimePoint now, const StepKey& step) {
    return ReadStepWait(now, state_, step);
  }

 private:
  void TimeOutAdviceRequests(TimePoint now);
  void TakeWorkerRows(std::size_t max_rows, ProgressWriteBatch& batch);
  void TakeWorkerRow(TrackedWorker& worker, ProgressWriteBatch& batch);
  // Returns the bytes that the row has at most.
  std::size_t TakeJobRow(const JobId& id, ProgressWriteBatch& batch);
  // Takes a refused row that is to be tried again, alone. Returns whether there
  // was one.
  bool TakeRefusedRow(ProgressWriteBatch& batch);
  void TakeEnds(ProgressWriteBatch& batch);
  void SetAside(TimePoint now, const ProgressWriteBatch& batch);

  DispatchState state_;
  JobManager jobs_;
  RunManager runs_;
  WorkerManager workers_;
  StepScheduler scheduler_;
  StepWaitReporter wait_reporter_;
  TimePoint steps_woken_at_{};
  TimePoint started_at_{};
};

}  // namespace chivewing
