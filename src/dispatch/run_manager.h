#pragma once

#include <cstdint>
#include <string>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/job_manager.h"

namespace chivewing {

// Starts runs, sends their orders until they are settled, and takes in how they
// end. A run holds its room until it is certain that it has ended or will never
// begin.
class RunManager {
 public:
  RunManager(DispatchState& state, JobManager& jobs)
      : state_(state), jobs_(jobs) {}

  // Starts a task on a worker; the order is among the next effects.
  void Start(TimePoint now, TrackedJob& job, const TaskKey& task,
             TrackedWorker& worker, std::uint64_t number,
             const std::string& ticket, DispatchEffects& out);
  // Takes over a run that an earlier dispatcher has started. It is stopped if
  // its task is done, has another run, or is not wanted any more; until it has
  // ended it holds its room and keeps its task from being started.
  void Adopt(TimePoint now, TrackedWorker& worker,
             const ActiveRunReport& listed);
  // Gives the runs that were listed before their job was known to it.
  void AttachOrphans(const JobId& id);

  void OnStartResponse(TimePoint now, std::uint64_t run_id,
                       const CommandResponse& answer);
  void OnStopAnswer(TimePoint now, std::uint64_t run_id,
                    const CommandResponse& answer);
  // Sends orders again that have had no answer, and stops that are wanted.
  void SendDue(TimePoint now, DispatchEffects& out);
  TimePoint next_send() const;

  // The run has ended so, or, with kLost, is certainly gone.
  void End(TimePoint now, std::uint64_t run_id, RunEndReason how,
           const std::string& saved);
  // An end of a run that is not kept here.
  void OnUntrackedRunEnd(TrackedJob& job, const EndedRunReport& end);
  void RequestStop(Run& run);
  // Stops runs whose job has stayed unknown.
  void StopOrphans(TimePoint now);

 private:
  void Attach(Run& run, TrackedJob& job);
  void SendStart(TimePoint now, Run& run, DispatchEffects& out);
  void SendStop(TimePoint now, Run& run, DispatchEffects& out);
  void MarkAcknowledged(TimePoint now, Run& run);
  void OnRefusal(TimePoint now, Run& run, CommandOutcome outcome);
  void RecordEnd(TrackedJob& job, const TaskRunKey& name, RunEndReason how,
                 const std::string& saved);
  void StopOthers(TrackedJob& job, const TaskKey& key, bool whole_step);

  DispatchState& state_;
  JobManager& jobs_;
};

}  // namespace chivewing
