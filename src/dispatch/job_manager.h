#pragma once

#include <chrono>
#include <optional>

#include "dispatch/dispatch_state.h"

namespace chivewing {

// Takes in jobs and cancels, keeps the order of the steps that have tasks to
// start, and ends jobs.
class JobManager {
 public:
  explicit JobManager(DispatchState& state) : state_(state) {}

  // A job as read from its row, with what an earlier dispatcher has written of
  // its progress. `earlier`: such a one may have started tasks of it, which may
  // be unknown here `uncertain_until` then. `wall` is the time of day since
  // 1970. A known job is left as it is.
  void Add(TimePoint now, std::chrono::milliseconds wall, JobRecord record,
           const std::optional<JobProgress>& progress, bool may_have_runs,
           TimePoint uncertain_until);
  void Cancel(const JobId& id);
  void Remove(const JobId& id);

  // Recomputes which steps of the job have tasks to start.
  void RefreshReadySteps(TrackedJob& job);
  // Opens occurrences that are due and returns when the next one is.
  std::optional<std::chrono::milliseconds> OpenDueOccurrences(
      std::chrono::milliseconds wall);
  // Moves jobs that have become worthless behind all others.
  void Reprioritize(TimePoint now);

  // To be called after a task of the job has been done, or has failed.
  void OnTaskDone(TrackedJob& job, std::size_t occurrence);
  void OnTaskFailed(TrackedJob& job, const TaskKey& task,
                    const TaskProgress& progress);
  void OnTaskStarted(TrackedJob& job);
  // All earlier starts are known now: tasks without a run may start again.
  void ClearUncertainty();

 private:
  void Finish(TrackedJob& job, JobPhase state);
  void StopRuns(const TrackedJob& job);
  void StopPartialGangs(TrackedJob& job);

  DispatchState& state_;
};

}  // namespace chivewing
