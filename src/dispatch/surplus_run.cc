#include "dispatch/surplus_run.h"

namespace chivewing {
namespace {

constexpr std::array<std::string_view, kSurplusReasons> kReasonNames = {
    "none",      "unknown_task", "job_ended",
    "task_done", "other_run",    "stop_requested"};

}  // namespace

std::string_view Name(SurplusReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

SurplusReason FindSurplusReason(const Run& run, const TrackedJob& job,
                                const TrackedTask* task) {
  if (!job.IsActive()) return SurplusReason::kJobEnded;
  if (task == nullptr) return SurplusReason::kUnknownTask;
  if (task->progress.done) return SurplusReason::kTaskDone;
  if (!task->runs.empty()) return SurplusReason::kOtherRun;
  if (run.stop_requested) return SurplusReason::kStopRequested;
  return SurplusReason::kNone;
}

}  // namespace chivewing
