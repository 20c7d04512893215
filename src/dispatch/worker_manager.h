#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"
#include "dispatch/worker_loss_text.h"

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
  void AdoptWorker(TimePoint now, TimePoint predecessor_ended_by,
                   const WorkerRegistration& registration);

  void OnPollResponse(TimePoint now, const WorkerId& id, std::uint64_t poll_id,
                      const PollResponse& response);
  // The response to a start or stop command also updates the worker's clock.
  void OnCommandResponse(TimePoint now, const WorkerId& id,
                         const CommandResponse& response);
  // The effects of the ends up to this number have been written to the table.
  void OnEndsPersisted(TimePoint now, const WorkerId& id,
                       std::chrono::milliseconds incarnation_start,
                       std::uint64_t end);

  void SendDue(TimePoint now, DispatchEffects& out);
  // The next time at which SendDue has something to do.
  TimePoint next_due() const;

 private:
  // To be called after each change of what AttentionTime depends on.
  void UpdateAttention(TimePoint now, TrackedWorker& worker);
  TimePoint AttentionTime(TimePoint now, const TrackedWorker& worker) const;
  // Stops the runs that a draining worker would otherwise take with it.
  void StopRunsBeforeLeaving(TimePoint now, const TrackedWorker& worker);
  // Removes the worker if it has gone and nothing can run there. Returns
  // whether it has.
  bool RemoveIfGone(TrackedWorker& worker);
  void Poll(TimePoint now, TrackedWorker& worker, DispatchEffects& out);
  void ApplyPollResponse(TimePoint now, TrackedWorker& worker,
                         const PollResponse& response);
  void ApplyCommandResponse(TimePoint now, TrackedWorker& worker,
                            const CommandResponse& response);
  void OnWrongIncarnation(TimePoint now, TrackedWorker& worker);
  // Another host may be dispatching, and may not have met the incarnation that
  // has responded, which then executes the commands of both: it gets none from
  // here.
  void OnUnmetIncarnation(TimePoint now, TrackedWorker& worker);
  // `why` is the beginning of the log line.
  void OnPollFailure(TimePoint now, TrackedWorker& worker,
                     const std::string& why);
  void OnIncarnationEnded(TimePoint now, TrackedWorker& worker);
  void OnRestart(TimePoint now, TrackedWorker& worker, const RestartSign& sign);
  // A worker that has answered at the address of a silent one shows that the
  // silent one has ended.
  void EndPredecessors(TimePoint now, const TrackedWorker& later);
  bool HasSuccessor(const TrackedWorker& worker) const;
  void EnableCopies(const WorkerId& id);
  void ForgetAdvice(const WorkerId& id);
  bool IsOfJobOnItsWay(TimePoint now, TrackedWorker& worker,
                       const EndedRunReport& end);
  void ProcessEnd(TimePoint now, const TrackedWorker& worker,
                  const EndedRunReport& end);
  void ProcessEnds(TimePoint now, TrackedWorker& worker,
                   const PollResponse& response);
  void ProcessRunning(TimePoint now, TrackedWorker& worker,
                      const PollResponse& response);
  void ProcessListedRun(TimePoint now, TrackedWorker& worker,
                        const ActiveRunReport& listed);
  void NoteWhetherListsAreWhole(TrackedWorker& worker,
                                const PollResponse& response);
  void EndUnlistedRuns(TimePoint now, TrackedWorker& worker,
                       const PollResponse& response);
  // The worker is lost: remembers if its runs were not known here yet.
  void NoteLostUnseen(const TrackedWorker& worker);
  void MarkSynced(const WorkerId& id);
  void EndRunsAsLost(TimePoint now, const WorkerId& id);
  void EndRunsAfterLeaseExpiry(TimePoint now, TrackedWorker& worker);

  DispatchState& state_;
  JobManager& jobs_;
  RunManager& runs_;
  // Workers by the time at which they need attention, so that a turn of the
  // loop costs nothing for those that do not.
  std::set<std::pair<TimePoint, WorkerId>> attention_;
};

}  // namespace chivewing
