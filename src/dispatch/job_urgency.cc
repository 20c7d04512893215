#include "dispatch/job_urgency.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr int kUsefulObjectives = 3;
constexpr std::chrono::hours kMaxObjective{24 * 366};
// An objective allows for one advice request of this many workers a step.
constexpr std::int64_t kWorkersPerAdvisedStep = 30;
// Part of its estimate that a step takes at least.
constexpr double kLeastEstimatePart = 0.5;

milliseconds AdviceTime(const Queue& queue) {
  if (!queue.advice) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(
      queue.advice->decide + queue.advice->each * kWorkersPerAdvisedStep);
}

// Duration of the longest chain of dependent steps, where a step takes what
// `step_time` returns for its index.
milliseconds LongestChain(
    const JobDescription& spec,
    const std::function<milliseconds(std::size_t)>& step_time) {
  std::vector<milliseconds> ends;
  milliseconds longest{0};
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    milliseconds start{0};
    for (const std::size_t earlier : spec.steps[s].after) {
      if (earlier < ends.size()) start = std::max(start, ends[earlier]);
    }
    ends.push_back(start + step_time(s));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

milliseconds JobObjective(const JobRecord& record) {
  const milliseconds advice = AdviceTime(record.queue);
  const milliseconds chain = LongestChain(record.spec, [&](std::size_t step) {
    return record.spec.steps[step].estimate + advice;
  });
  const std::chrono::duration<double, std::milli> exact =
      chain * record.queue.stretch + record.queue.objective;
  return std::chrono::duration_cast<milliseconds>(
      std::clamp<std::chrono::duration<double, std::milli>>(
          exact, milliseconds(0), kMaxObjective));
}

milliseconds JobUsefulTime(const JobRecord& record) {
  return kUsefulObjectives * JobObjective(record);
}

milliseconds LeastTimeLeft(const TrackedJob& job, std::size_t occurrence) {
  const milliseconds chain =
      LongestChain(job.record.spec, [&](std::size_t step) {
        return job.IsStepDone(occurrence, step) ? milliseconds(0)
                                                : job.spec(step).estimate;
      });
  const std::chrono::duration<double, std::milli> exact = chain;
  return std::chrono::duration_cast<milliseconds>(exact * kLeastEstimatePart);
}

JobUrgency UrgencyAt(TimePoint now, const TrackedJob& job,
                     std::size_t occurrence) {
  if (now >= job.useless_after) return JobUrgency::kUseless;
  const bool late = now + LeastTimeLeft(job, occurrence) > job.due;
  return late ? JobUrgency::kLate : JobUrgency::kInTime;
}

TimePoint NextUrgencyChange(TimePoint now, const TrackedJob& job,
                            std::size_t occurrence) {
  switch (UrgencyAt(now, job, occurrence)) {
    case JobUrgency::kInTime:
      return job.due - LeastTimeLeft(job, occurrence) + Duration(1);
    case JobUrgency::kLate:
      return job.useless_after;
    case JobUrgency::kUseless:
      return TimePoint::max();
  }
  return TimePoint::max();
}

}  // namespace chivewing
