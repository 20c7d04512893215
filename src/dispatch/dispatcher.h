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
#include "dispatch/worker_manager.h"

namespace chivewing {

// What has to be written to the table before it may be shown or forgotten.
struct ProgressWriteBatch {
  std::vector<std::pair<JobId, JobProgress>> jobs{};
  std::vector<WorkerRegistration> enrolled{};  // workers that will get tasks
  std::set<WorkerId> removed_workers{};  // workers that are gone for certain
  std::map<WorkerId, std::uint64_t> ends{};  // settled once it is written

  // Nothing to write; the ends can be settled at once.
  bool empty() const {
    return jobs.empty() && enrolled.empty() && removed_workers.empty();
  }
};

// Decides, for all workers, which task of which job runs where. One entry host
// holds the dispatcher's lease and calls it; its fence rises with each holder.
// Deciding code: the present time is an argument, effects are returned.
class Dispatcher {
 public:
  Dispatcher(DispatchOptions options, std::uint64_t fence);

  // The same holder has taken its lease anew.
  void set_fence(std::uint64_t fence) { state_.fence = fence; }
  // Until then no other host can be dispatching.
  void set_sole_until(TimePoint until) { state_.exclusive_until = until; }
  std::uint64_t fence() const { return state_.fence; }
  // A worker has seen a higher fence: there is another dispatcher.
  bool fenced_off() const { return state_.fenced; }

  // `uncertain`: an earlier dispatcher may have started tasks of it that are
  // not known yet.
  void AddJob(TimePoint now, std::chrono::milliseconds wall, JobRecord record,
              const std::optional<JobProgress>& progress, bool uncertain);
  void CancelJob(const JobId& job);
  void RegisterWorker(TimePoint now, const WorkerRegistration& registration);
  void UnregisterWorker(const WorkerId& worker);
  void AdoptWorker(TimePoint now, const WorkerRegistration& registration);
  // To be called after the expected workers: with none, nothing is uncertain.
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

  // Everything that is due at `now`; `wall` is the time of day since 1970.
  // Returns when it is to be called again at the latest.
  TimePoint Decide(TimePoint now, std::chrono::milliseconds wall,
                   DispatchEffects& out);

  bool HasDirty() const;
  // Takes at most about `most` rows; each batch ends with one of the two below.
  ProgressWriteBatch TakeBatch(std::size_t max_rows);
  void OnSaved(TimePoint now, const ProgressWriteBatch& batch);
  void OnNotSaved(const ProgressWriteBatch& batch);

  const DispatchState& state() const { return state_; }

 private:
  void TimeOutAdviceRequests(TimePoint now);

  DispatchState state_;
  JobManager jobs_;
  RunManager runs_;
  WorkerManager workers_;
  StepScheduler scheduler_;
  TimePoint reprioritized_at_{};
  TimePoint started_at_{};
};

}  // namespace chivewing
