#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/job_progress.h"
#include "dispatch/job_record.h"
#include "dispatch/step_advice_cache.h"
#include "dispatch/step_wait.h"

namespace chivewing {

// The run whose end `done` has been read first.
struct DoneRun {
  std::uint64_t number = 0;
  WorkerId worker{};
  std::chrono::milliseconds incarnation_start{0};  // of the worker

  friend bool operator==(const DoneRun&, const DoneRun&) = default;
};

// One task: its progress and the ids of its runs that may still be executing.
struct TrackedTask {
  TaskProgress progress{};
  std::uint64_t highest_run = 0;  // highest run number used so far
  std::set<WorkerId> failed_on{};
  std::vector<std::uint64_t> runs{};
  // Its next start is noted in `progress`, by this dispatcher.
  bool next_start_noted = false;
  // For RepeatedEndMonitor: the number of the first run that this dispatcher
  // has started, 0 if none, and the run by which the task was seen to be done.
  std::uint64_t first_run_here = 0;
  std::optional<DoneRun> done_by{};
};

// One step of one occurrence.
struct TrackedStep {
  std::vector<TrackedTask> tasks{};
  std::size_t done_count = 0;
  StepAdviceCache advice{};
  // Since when tasks wait and none has been placed, as found by the attempts to
  // place them, and what the last attempt left them waiting for.
  TimePoint waiting_since{};
  StepWait wait = StepWait::kAttempt;
};

// A job as the dispatcher sees it: its record, its phase and its tasks.
struct TrackedJob {
  JobRecord record{};
  JobPhase state = JobPhase::kQueued;
  bool cancelled = false;
  // An earlier dispatcher may have started tasks of the job that are not known
  // here: tasks without a run wait.
  bool uncertain = false;
  TimePoint accepted_at{};
  TimePoint due{};            // objective for its end
  TimePoint useless_after{};  // an end after this is of no use to its caller
  std::uint64_t highest_run = 0;
  // New runs get numbers above this one: an earlier dispatcher may have used
  // the numbers up to it.
  std::uint64_t run_number_floor = 0;
  std::map<std::size_t, std::vector<TrackedStep>> occurrences{};
  std::size_t finished_occurrences = 0;
  // Number of changes of `crashes`, `isolated_starts` and `noted_start` of its
  // tasks, and how many of them the written progress row holds. Starts of
  // suspected tasks wait for it.
  std::size_t suspicions = 0;
  std::size_t suspicions_saved = 0;
  // Of a repeating job: the occurrences below this number are due. Tasks of
  // later ones may be known from workers, but none is started here.
  std::size_t due_occurrences = 0;

  bool IsActive() const { return !IsFinal(state) && !cancelled; }
  TrackedStep* FindStep(std::size_t occurrence, std::size_t step);
  TrackedTask* FindTask(const TaskKey& key);
  const StepSpec& spec(std::size_t step) const {
    return record.spec.steps[step];
  }
  std::size_t OccurrenceCount() const;
  // Time of day, since 1970, at which an occurrence is due.
  std::chrono::milliseconds DueTime(std::size_t occurrence) const;
  // True if all steps in `after` of this step are done.
  bool ArePredecessorsDone(std::size_t occurrence, std::size_t step) const;
  // Indices of the tasks that are not done and have no run. Of a gang either
  // all tasks are returned or none.
  std::vector<std::size_t> WaitingTasks(std::size_t occurrence,
                                        std::size_t step) const;
  bool IsStepDone(std::size_t occurrence, std::size_t step) const;
  // True if the occurrence's tasks may be started.
  bool IsDue(std::size_t occurrence) const {
    return record.spec.repeats == 0 || occurrence < due_occurrences;
  }
  void OpenOccurrence(std::size_t occurrence);
  // A worker has reported a run of the occurrence, which another dispatcher has
  // started: opens it if it can be one of this job that is not finished.
  void OpenReportedOccurrence(std::size_t occurrence);
  JobProgress progress() const;
  void set_progress(const JobProgress& progress);
};

}  // namespace chivewing
