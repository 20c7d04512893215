#pragma once

#include <cstdint>
#include <string>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"

namespace chivewing {

// Keeps one standing poll at each worker, which renews its lease, and compares
// what the worker lists with what the dispatcher believes.
class WorkerManager {
 public:
  WorkerManager(DispatchState& state, JobManager& jobs, RunManager& runs)
      : state_(state), jobs_(jobs), runs_(runs) {}

  void Register(TimePoint now, const WorkerRegistration& registration);
  // The registration has gone; the worker may still run tasks.
  void Unregister(const WorkerId& id);
  // A worker that an earlier dispatcher has given tasks. Tasks that are not
  // found anywhere wait until it has listed its runs or its lease has ended.
  void AdoptWorker(TimePoint now, const WorkerRegistration& registration);

  void OnPollResponse(TimePoint now, const WorkerId& id, std::uint64_t poll_id,
                      const PollResponse& response);
  // An order's answer also tells that the worker lives.
  void OnCommandResponse(TimePoint now, const WorkerId& id,
                         const CommandResponse& response);
  // The ends up to this number have had their effect written to the table.
  void OnEndsPersisted(TimePoint now, const WorkerId& id, std::uint64_t end);

  void SendDue(TimePoint now, DispatchEffects& out);
  TimePoint next_due() const;

  // Whether new tasks may be started on it.
  bool AcceptsTasks(TimePoint now, const TrackedWorker& worker) const;

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
