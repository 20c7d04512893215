#pragma once

#include <cstdint>
#include <string>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"

namespace chivewing {

// Keeps one poll pending at each worker, which renews the worker's lease, and
// reconciles the runs that the worker lists with the run table. Polls are
// returned as effects; does no I/O apart from logging.
class WorkerManager {
 public:
  WorkerManager(DispatchState& state, JobManager& jobs, RunManager& runs)
      : state_(state), jobs_(jobs), runs_(runs) {}

  void Register(TimePoint now, const WorkerRegistration& registration);
  // The worker's registration has been deleted; it may still run tasks.
  void Unregister(const WorkerId& id);
  // Adopts a worker to which an earlier dispatcher may have given tasks. Tasks
  // without a known run wait until the worker has listed its runs or its lease
  // has expired.
  void AdoptWorker(TimePoint now, const WorkerRegistration& registration);

  void OnPollResponse(TimePoint now, const WorkerId& id, std::uint64_t poll_id,
                      const PollResponse& response);
  // The response to a start or stop command also updates the worker's clock.
  void OnCommandResponse(TimePoint now, const WorkerId& id,
                         const CommandResponse& response);
  // The effects of the ends up to this number have been written to the table.
  void OnEndsPersisted(TimePoint now, const WorkerId& id, std::uint64_t end);

  void SendDue(TimePoint now, DispatchEffects& out);
  // The next time at which SendDue has something to do, after it has been
  // called at `now`.
  TimePoint next_due(TimePoint now) const;

 private:
  void Poll(TimePoint now, TrackedWorker& worker, DispatchEffects& out);
  void OnPollFailure(TimePoint now, TrackedWorker& worker);
  void OnIncarnationEnded(TimePoint now, TrackedWorker& worker);
  void OnRestart(TimePoint now, TrackedWorker& worker);
  void EnableCopies(const WorkerId& id);
  void ForgetAdvice(const WorkerId& id);
  void ProcessEnds(TimePoint now, TrackedWorker& worker,
                   const PollResponse& response);
  void ProcessRunning(TimePoint now, TrackedWorker& worker,
                      const PollResponse& response);
  void ProcessListedRun(TimePoint now, TrackedWorker& worker,
                        const ActiveRunReport& listed);
  void EndUnlistedRuns(TimePoint now, TrackedWorker& worker,
                       const PollResponse& response);
  void MarkSynced(const WorkerId& id);
  void EndRunsAsLost(TimePoint now, const WorkerId& id);
  void EndRunsAfterLeaseExpiry(TimePoint now, TrackedWorker& worker);

  DispatchState& state_;
  JobManager& jobs_;
  RunManager& runs_;
};

}  // namespace chivewing
