#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "dispatch/run_table.h"
#include "dispatch/tracked_job.h"

namespace chivewing {

// Why a start command must not leave this host.
enum class StartFault {
  kNone,
  kUnknownJob,         // no job row of this id is known
  kUnknownTask,        // the job has no such task, or its time has not come
  kJobCancelled,       // the job's cancel is known here
  kJobEnded,           // the job has ended
  kTaskDone,           // the task has ended as done
  kOtherPayload,       // not the payload of the job's row
  kForeignCheckpoint,  // not the checkpoint recorded for the task
};

inline constexpr std::size_t kStartFaults = 8;

// The name of a fault in logs and metrics.
std::string_view Name(StartFault fault);

// The last check of each start command before it is returned as an effect: it
// starts only what a caller has submitted and has not cancelled, as far as this
// host knows. Counts the commands that it withholds. Does no I/O.
class StartGuard {
 public:
  // The fault of a command for `run`; `job` is null if its job is not known.
  // The checkpoint is compared at the first attempt: the task may record a
  // newer one before a retry, which repeats the command.
  StartFault Check(TrackedJob* job, const Run& run, const StartRun& command);

  std::uint64_t count(StartFault fault) const {
    return counts_.at(static_cast<std::size_t>(fault));
  }

 private:
  static StartFault FindFault(TrackedJob* job, const Run& run,
                              const StartRun& command);

  std::array<std::uint64_t, kStartFaults> counts_{};
};

}  // namespace chivewing
