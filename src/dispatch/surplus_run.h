#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "dispatch/run_table.h"
#include "dispatch/tracked_job.h"

namespace chivewing {

// Why a listed run that this dispatcher does not know is stopped.
enum class SurplusReason {
  kNone,  // its task needs it
  kUnknownTask,
  kJobEnded,
  kTaskDone,
  kOtherRun,       // the task has another run
  kStopRequested,  // its job was unknown for too long
};

inline constexpr std::size_t kSurplusReasons = 6;

// The name of a reason in logs and metrics.
std::string_view Name(SurplusReason reason);

// `task` is the run's, or null; without `run` among its runs yet.
SurplusReason FindSurplusReason(const Run& run, const TrackedJob& job,
                                const TrackedTask* task);

using SurplusRunCounts = std::array<std::uint64_t, kSurplusReasons>;

}  // namespace chivewing
