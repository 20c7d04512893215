#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "dispatch/dispatch_state.h"

namespace chivewing {

// Adds, cancels and ends jobs, and keeps the ready steps (those that have tasks
// to start) sorted by urgency. Does no I/O apart from logging.
class JobManager {
 public:
  explicit JobManager(DispatchState& state) : state_(state) {}

  // Adds a job read from its row, with the progress that an earlier dispatcher
  // has written. `may_have_runs` is true if an earlier dispatcher may have used
  // run numbers of it, `uncertain` if it may have started tasks that are
  // unknown here until ClearUncertainty. Has no effect on a job that is already
  // known.
  void Add(TimePoint accepted_at, JobRecord record,
           const std::optional<JobProgress>& progress, bool may_have_runs,
           bool uncertain);
  void Cancel(const JobId& id);
  void Remove(const JobId& id);

  // Recomputes which steps of the job have tasks to start.
  void RefreshReadySteps(TrackedJob& job);
  // Opens the occurrences that are due and returns the time of day at which the
  // next one is; nullopt if there is none.
  std::optional<std::chrono::milliseconds> OpenDueOccurrences(
      std::chrono::milliseconds wall);
  // Moves the steps of jobs that have become late behind those of their
  // priority that can be in time, and useless ones behind all others.
  void Reprioritize(TimePoint now);

  // To be called after a task has been marked done, or a failed run counted.
  void OnTaskDone(TrackedJob& job, std::size_t occurrence);
  void OnTaskFailed(TrackedJob& job, const TaskKey& task,
                    const TaskProgress& progress);
  void OnTaskStarted(TrackedJob& job);
  // A worker has crashed soon after it had started the task, or seems to have.
  void OnWorkerCrashed(TrackedJob& job, const TaskKey& task);
  // It had not.
  void ForgetCrash(TrackedJob& job, const TaskKey& task);
  // The task is about to be started, alone on a worker or not.
  void NoteStart(TrackedJob& job, TrackedTask& task, bool isolated);
  // The worker of the noted start has been chosen.
  void SetNotedWorker(TrackedJob& job, TrackedTask& task,
                      const TrackedWorker& worker);
  // Its isolated start has ended otherwise than by a crash of the worker.
  void ForgetIsolatedStart(TrackedJob& job, TrackedTask& task);
  // The task has run without harm to its worker.
  void ClearSuspicion(TrackedJob& job, TrackedTask& task);
  // A progress row with this many changes of suspicions has been written.
  void OnSuspicionsSaved(const JobId& id, std::size_t suspicions);
  // The job ends as failed, since the task crashes worker after worker.
  void GiveUp(TrackedJob& job, const TaskKey& task);
  // All runs of earlier dispatchers are known: tasks without a run may start.
  void ClearUncertainty();

 private:
  // Finds out what has become of starts that an earlier dispatcher has noted.
  void ResolveNotedStarts(TrackedJob& job);
  void ResolveNotedStart(TrackedJob& job, TrackedTask& task);
  // A worker was lost before its runs were known here: holds a crash against
  // the tasks that may have run there.
  void SuspectUnseenRuns(TrackedJob& job);
  bool IsRunningSince(const WorkerId& id,
                      std::chrono::milliseconds incarnation_start) const;
  void Finish(TrackedJob& job, JobPhase state);
  void StopRuns(const TrackedJob& job);
  void StopPartialGangs(TrackedJob& job);

  DispatchState& state_;
  // When the urgency of a ready step is to be looked at. An entry stays behind
  // when its step is not ready any more, until its time.
  std::set<std::pair<TimePoint, StepKey>> urgency_checks_;
};

}  // namespace chivewing
