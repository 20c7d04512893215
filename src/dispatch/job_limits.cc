#include "dispatch/job_limits.h"

#include <algorithm>
#include <cstdint>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// More than any worker has: thousandths of a processor, MB, accelerators.
constexpr std::int64_t kMaxAmount = 1'000'000'000;
// End of the year 2099, since 1970.
constexpr milliseconds kMaxTimeOfDay{4'102'444'800'000};

bool IsAmount(std::int64_t amount) {
  return amount >= 0 && amount <= kMaxAmount;
}

bool IsWithin(milliseconds time, milliseconds most) {
  return time >= milliseconds(0) && time <= most;
}

std::string FindStepFault(const StepSpec& step, std::size_t index) {
  const Resources& size = step.size;
  if (step.task_count < 1 || step.task_count > kMaxTasksPerJob)
    return "task count: out of range";
  if (!IsAmount(size.processors_milli) || !IsAmount(size.memory_mb) ||
      !IsAmount(size.accelerators)) {
    return "size: out of range";
  }
  if (!IsWithin(step.estimate, kMaxStepEstimate))
    return "estimate: out of range";
  if (step.most_per_worker > kMaxTasksPerJob ||
      step.max_unavailable.value_or(0) > kMaxTasksPerJob) {
    return "tasks per worker, unavailable tasks: out of range";
  }
  const bool earlier_steps =
      std::all_of(step.after.begin(), step.after.end(),
                  [index](std::size_t after) { return after < index; });
  return earlier_steps ? "" : "after: names no earlier step";
}

std::string FindRepeatFault(const JobDescription& job) {
  if (job.repeats > kMaxOccurrences) return "repeats: too many";
  if (!IsWithin(job.first_at, kMaxTimeOfDay))
    return "first occurrence: out of range";
  if (!IsWithin(job.interval, kMaxRepeatInterval))
    return "interval: out of range";
  return "";
}

}  // namespace

std::string FindJobFault(const JobDescription& job) {
  if (job.steps.empty() || job.steps.size() > kMaxStepsPerJob)
    return "steps: none or too many";
  std::size_t tasks = 0;
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    const std::string fault = FindStepFault(job.steps[s], s);
    if (!fault.empty()) return "step " + std::to_string(s) + ": " + fault;
    tasks += job.steps[s].task_count;
  }
  if (tasks > kMaxTasksPerJob) return "steps: too many tasks";
  return FindRepeatFault(job);
}

}  // namespace chivewing
