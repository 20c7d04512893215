#include "dispatch/start_guard.h"

namespace chivewing {
namespace {

constexpr std::array<std::string_view, kStartFaults> kFaultNames = {
    "none",      "unknown_job", "unknown_task",  "job_cancelled",
    "job_ended", "task_done",   "other_payload", "foreign_checkpoint"};

}  // namespace

std::string_view Name(StartFault fault) {
  return kFaultNames.at(static_cast<std::size_t>(fault));
}

StartFault StartGuard::Check(TrackedJob* job, const Run& run,
                             const StartRun& command) {
  const StartFault fault = FindFault(job, run, command);
  ++counts_.at(static_cast<std::size_t>(fault));
  return fault;
}

StartFault StartGuard::FindFault(TrackedJob* job, const Run& run,
                                 const StartRun& command) {
  if (job == nullptr) return StartFault::kUnknownJob;
  if (job->cancelled) return StartFault::kJobCancelled;
  if (IsFinal(job->state)) return StartFault::kJobEnded;
  const TrackedTask* const task = job->FindTask(command.run.task);
  if (task == nullptr || command.run.task.job != job->record.id) {
    return StartFault::kUnknownTask;
  }
  if (task->progress.done) return StartFault::kTaskDone;
  if (command.payload != job->record.spec.payload) {
    return StartFault::kOtherPayload;
  }
  const bool first_attempt = run.send_count <= 1;
  if (first_attempt && command.saved != task->progress.saved) {
    return StartFault::kForeignCheckpoint;
  }
  return StartFault::kNone;
}

}  // namespace chivewing
