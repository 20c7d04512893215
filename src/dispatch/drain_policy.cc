#include "dispatch/drain_policy.h"

#include <algorithm>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr int kWholePercent = 100;
// Time to stop a run, to report its end and to write it.
constexpr milliseconds kStopLead{1500};
// Time to report an end before the worker leaves.
constexpr milliseconds kReportTime{200};
// A run without checkpoints is given up only if it would have to be this much
// quicker than expected: its estimate may be too long.
constexpr double kEstimateTolerance = 1.25;

}  // namespace

std::optional<milliseconds> ExpectedTimeLeft(TimePoint now,
                                             const StepSpec& spec,
                                             const Run& run) {
  if (spec.long_running) return std::nullopt;
  const milliseconds left =
      spec.estimate * (kWholePercent - run.percent) / kWholePercent;
  const TimePoint since =
      std::max({run.acknowledged_at, run.listed_at, TimePoint{}});
  const auto passed =
      since == TimePoint{}
          ? milliseconds(0)
          : std::chrono::duration_cast<milliseconds>(now - since);
  return std::max(left - passed, milliseconds(0));
}

TimePoint DrainStopTime(TimePoint now, TimePoint leaves_at,
                        const StepSpec& spec, const Run& run) {
  const std::optional<milliseconds> left = ExpectedTimeLeft(now, spec, run);
  if (left && now + *left + kReportTime <= leaves_at) return TimePoint::max();
  if (spec.checkpoints || spec.long_running) return leaves_at - kStopLead;
  const auto usable = std::chrono::duration_cast<milliseconds>(
      (leaves_at - now) * kEstimateTolerance);
  return left && *left > usable ? now : TimePoint::max();
}

}  // namespace chivewing
