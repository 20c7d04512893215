#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/job_progress.h"
#include "dispatch/job_record.h"
#include "dispatch/step_advice_cache.h"

namespace chivewing {

// One task: what it has achieved, and its runs that may still be going on.
struct TrackedTask {
  TaskProgress progress{};
  std::uint64_t highest_run = 0;  // highest number given to a run
  std::set<WorkerId> failed_on{};
  std::vector<std::uint64_t> runs{};
};

// One step of one occurrence.
struct TrackedStep {
  std::vector<TrackedTask> tasks{};
  std::size_t done_count = 0;
  StepAdviceCache advice{};
  // The state of the cluster's room when this step last found none.
  std::uint64_t tried_capacity_version = 0;
};

// A job that the dispatcher knows.
struct TrackedJob {
  JobRecord record{};
  JobPhase state = JobPhase::kQueued;
  bool cancelled = false;
  // Until then an earlier dispatcher may have started tasks of it that are not
  // known yet.
  TimePoint uncertain_until{};
  TimePoint accepted_at{};
  TimePoint due{};            // its objective
  TimePoint useless_after{};  // nobody is served by an end after this
  std::uint64_t highest_run = 0;
  // Runs get higher numbers than this: an earlier dispatcher may have given
  // those up to it.
  std::uint64_t run_number_floor = 0;
  std::map<std::size_t, std::vector<TrackedStep>> occurrences{};
  std::size_t finished_occurrences = 0;

  bool IsActive() const { return !IsFinal(state) && !cancelled; }
  TrackedStep* FindStep(std::size_t occurrence, std::size_t step);
  TrackedTask* FindTask(const TaskKey& key);
  const StepSpec& spec(std::size_t step) const {
    return record.spec.steps[step];
  }
  // Number of occurrences in all.
  std::size_t OccurrenceCount() const;
  // Time of day, since 1970, at which an occurrence is due.
  std::chrono::milliseconds DueTime(std::size_t occurrence) const;
  // Whether all steps before this one are done.
  bool ArePredecessorsDone(std::size_t occurrence, std::size_t step) const;
  // Tasks that are not done and have no run; all or none of a gang.
  std::vector<std::size_t> WaitingTasks(std::size_t occurrence,
                                        std::size_t step) const;
  bool IsStepDone(std::size_t occurrence, std::size_t step) const;
  void OpenOccurrence(std::size_t occurrence);
  JobProgress progress() const;
  void set_progress(const JobProgress& progress);
};

// The longest chain of work in a job, by its estimates.
std::chrono::milliseconds CriticalPathLength(const JobDescription& spec);

}  // namespace chivewing
