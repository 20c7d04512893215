#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace chivewing {

enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// The snake_case name of a state.
std::string_view Name(JobPhase state);

inline bool IsFinal(JobPhase state) {
  return state != JobPhase::kQueued && state != JobPhase::kRunning;
}

// What must outlive the dispatcher about one task.
struct TaskProgress {
  bool done = false;
  std::set<std::uint64_t> failed_runs{};  // numbers of runs that ended so
  std::string saved{};                    // newest progress of a run that ended
};

// The tasks of one step by their index; absent ones have no progress.
using StepProgress = std::map<std::size_t, TaskProgress>;

// What must outlive the dispatcher about a job.
struct JobProgress {
  JobPhase state = JobPhase::kQueued;
  std::uint64_t highest_run = 0;  // highest number of a run known when written
  // By occurrence, then by step.
  std::map<std::size_t, std::vector<StepProgress>> occurrences{};
  std::size_t finished_occurrences = 0;  // all below this number are done
};

std::string EncodeJobProgress(const JobProgress& progress);
Result<JobProgress> DecodeJobProgress(std::string_view value);

}  // namespace chivewing
