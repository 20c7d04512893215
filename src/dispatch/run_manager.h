#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/job_manager.h"

namespace chivewing {

// Starts and stops runs, repeats their commands until the worker confirms them,
// and records how runs end. A run holds its resources until it has certainly
// ended or will certainly never start. Commands are returned as effects; does
// no I/O apart from logging.
class RunManager {
 public:
  RunManager(DispatchState& state, JobManager& jobs)
      : state_(state), jobs_(jobs) {}

  // Starts a task on a worker and appends the command to `out`.
  void Start(TimePoint now, TrackedJob& job, const TaskKey& task,
             TrackedWorker& worker, std::uint64_t number,
             const std::string& ticket, DispatchEffects& out);
  // Adopts a listed run that an earlier dispatcher has started. The run is
  // stopped if its task is done or has another run, or if its job is over.
  // Until it has ended it holds its resources and its task is not started
  // again.
  void Adopt(TimePoint now, TrackedWorker& worker,
             const ActiveRunReport& listed);
  // Attaches the runs that were listed before their job was known to that job,
  // and counts the ends that were kept.
  void AttachOrphans(const JobId& id);
  // Keeps the end of a run whose job is not known yet.
  void KeepUnknownEnd(const EndedRunReport& end);
  void ForgetUnknownEnds(const JobId& job) { unknown_ends_.erase(job); }

  void OnStartResponse(TimePoint now, std::uint64_t run_id,
                       const CommandResponse& response);
  // The worker has the run. Copies of its start may still be on their way.
  void MarkAcknowledged(TimePoint now, Run& run);
  void OnStopResponse(TimePoint now, std::uint64_t run_id,
                      const CommandResponse& response);
  // Sends the start commands whose retry is due and the requested stops.
  void SendDue(TimePoint now, DispatchEffects& out);

  // The worker lists the run: one that has gone on for long is harmless.
  void OnListed(TimePoint now, Run& run);
  // The worker has fallen silent: counts a crash at the tasks that it had just
  // started, so that the table holds it whatever becomes of this host.
  void SuspectCrash(const TrackedWorker& worker);
  // The worker has crashed. To be called before its runs end.
  void ConfirmCrash(const TrackedWorker& worker);
  // The worker has not crashed.
  void DropSuspectedCrash(const TrackedWorker& worker);

  // The run has ended with this reason; kLost also covers runs that have gone
  // without a report, or never started. `saved` is its last checkpoint, or
  // empty.
  void End(TimePoint now, std::uint64_t run_id, RunEndReason reason,
           const std::string& saved);
  // A worker has reported the end of a run that is not in the run table.
  void OnUntrackedRunEnd(TrackedJob& job, const EndedRunReport& end);
  // Stops a run, and with it its gang, so that its task starts elsewhere.
  void StopToMove(std::uint64_t run_id);
  // Stops runs whose job is still unknown after a while.
  void StopOrphans(TimePoint now);

 private:
  void Isolate(Run& run);
  std::vector<std::uint64_t> RunsOfKnownJobs(const TrackedWorker& worker);
  void Attach(Run& run, TrackedJob& job);
  void SendStart(TimePoint now, Run& run, DispatchEffects& out);
  StartRun MakeStartCommand(TimePoint now, const Run& run,
                            const TrackedWorker& worker,
                            const TrackedJob* job) const;
  void Withhold(TimePoint now, Run& run, StartFault fault);
  void SendStop(TimePoint now, Run& run, DispatchEffects& out);
  void OnRefusal(TimePoint now, Run& run, CommandOutcome outcome);
  void RecordEnd(TrackedJob& job, const TaskRunKey& run, RunEndReason reason,
                 const std::string& saved);
  void ReportEndWithoutTask(const TrackedJob& job, const TaskRunKey& run,
                            RunEndReason reason);
  void StopUnconfirmedRuns(const TrackedStep& step);
  void StopTaskRuns(TrackedJob& job, const TaskKey& key, bool whole_step);

  DispatchState& state_;
  JobManager& jobs_;
  std::map<JobId, std::map<TaskRunKey, EndedRunReport>> unknown_ends_;
};

}  // namespace chivewing
