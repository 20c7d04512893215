#include "dispatch/crash_policy.h"

#include <algorithm>
#include <chrono>

namespace chivewing {
namespace {

// A run that has gone on for so long does not crash its worker.
constexpr std::chrono::seconds kProbation{1};
constexpr std::size_t kCrashesBeforeIsolation = 2;
constexpr std::size_t kMaxIsolatedStarts = 2;
constexpr std::size_t kMaxGangCrashes = 4;
// One worker in so many, and at least one, is kept for tasks that run alone.
constexpr std::size_t kWorkersPerIsolated = 4;

// The latest time at which the worker can have begun the run.
TimePoint StartOf(const Run& run) {
  return std::max(run.started_at, run.acknowledged_at);
}

}  // namespace

bool IsSuspect(const Run& run, const TrackedWorker& worker) {
  return !run.proved && worker.last_response_at < StartOf(run) + kProbation;
}

bool NeedsWorkerAlone(const TrackedTask& task, const StepSpec& step) {
  return !step.gang && task.progress.crashes >= kCrashesBeforeIsolation;
}

bool IsGivenUp(const TrackedTask& task, const StepSpec& step) {
  if (step.gang) return task.progress.crashes >= kMaxGangCrashes;
  return task.progress.isolated_starts >= kMaxIsolatedStarts;
}

bool IsSuspected(const TrackedTask& task) {
  return task.progress.crashes > 0 || task.progress.isolated_starts > 0;
}

bool NeedsNote(const TrackedTask& task, const StepSpec& step) {
  return !step.gang && IsSuspected(task);
}

bool MayCopy(const TrackedJob& job, const TrackedTask& task,
             const StepSpec& step) {
  if (NeedsWorkerAlone(task, step)) return false;
  return task.progress.crashes == 0 || job.suspicions <= job.suspicions_saved;
}

bool IsOnProbation(TimePoint now, const Run& run) {
  if (run.proved) return false;
  return !run.acknowledged || now < StartOf(run) + kProbation;
}

std::size_t MaxIsolatedWorkers(std::size_t workers) {
  return std::max<std::size_t>(1, workers / kWorkersPerIsolated);
}

}  // namespace chivewing
