#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// The name of a phase in the progress row.
std::string_view Name(JobPhase state);

inline bool IsFinal(JobPhase state) {
  return state != JobPhase::kQueued && state != JobPhase::kRunning;
}

// A start of a suspected task. It is noted in the progress row before it is
// made, and once more when the worker has been chosen.
struct NotedStart {
  bool isolated = false;  // counted in TaskProgress::isolated_starts
  WorkerId worker{};      // empty until it is chosen
  std::chrono::milliseconds incarnation_start{0};  // of that worker
};

// Progress of one task that a later dispatcher needs.
struct TaskProgress {
  bool done = false;
  std::set<std::uint64_t> failed_runs{};  // numbers of the runs that failed
  std::string saved{};  // newest checkpoint of a run that ended; may be empty
  // Workers that crashed soon after they started the task; see crash_policy.
  std::size_t crashes = 0;
  // Starts of the task alone on a worker that have not ended harmlessly.
  // Written before the start, so that a later dispatcher knows of it.
  std::size_t isolated_starts = 0;
  // The newest start that has been noted; none once its task has proved
  // harmless.
  std::optional<NotedStart> noted_start{};

  // True if a later dispatcher needs nothing of it.
  bool empty() const {
    return !done && failed_runs.empty() && saved.empty() && crashes == 0 &&
           isolated_starts == 0 && !noted_start;
  }
};

// The tasks of one step by index; tasks without progress are absent.
using StepProgress = std::map<std::size_t, TaskProgress>;

// Progress of a job, stored in its progress row for a later dispatcher.
struct JobProgress {
  JobPhase state = JobPhase::kQueued;
  std::uint64_t highest_run = 0;  // highest run number known when written
  // By occurrence, then by step. Empty for a job that has ended.
  std::map<std::size_t, std::vector<StepProgress>> occurrences{};
  std::size_t finished_occurrences = 0;  // all below this number are done
};

// The value of the progress row, as JSON. Decoding a malformed value fails with
// kBadRequest.
std::string EncodeJobProgress(const JobProgress& progress);
// Most bytes of the value of a progress row; the platform takes no larger rows.
inline constexpr std::size_t kMaxProgressRowBytes = 48'000;
// The value of a progress row that is not too large for the platform.
struct ProgressRowValue {
  std::string text{};
  // A later dispatcher starts so many tasks without their checkpoints, unless
  // their workers list them.
  std::size_t checkpoints_left_out = 0;
};
// Leaves out checkpoints, of the last tasks first, to stay within `max_bytes`;
// if that is not enough, writes what tasks have in common once. An earlier
// build reads no failures and suspicions from the latter form. All else is
// written, so the value of a job of many tasks of which each has another
// history can still be larger.
ProgressRowValue EncodeProgressRow(const JobProgress& progress,
                                   std::size_t max_bytes);
// About the bytes of the encoded value.
std::size_t EstimateProgressBytes(const JobProgress& progress);
Result<JobProgress> DecodeJobProgress(std::string_view value);
// The state alone. Reads no further than the state, so the rest may be
// malformed; fails with kBadRequest if there is no state.
Result<JobPhase> DecodeJobPhase(std::string_view value);

}  // namespace chivewing
