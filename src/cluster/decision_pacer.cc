#include "cluster/decision_pacer.h"

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kInterval{500};
// Parts of an interval in hundredths. Decisions take 50 at most.
constexpr int kOverloadedShare = 40;
constexpr int kCalmShare = 25;
constexpr int kWhole = 100;
// Intervals below the lower limit after which the overload has ended.
constexpr int kCalmIntervals = 4;

}  // namespace

void DecisionPacer::OnDecision(TimePoint end, Duration spent) {
  next_decision_ = end + spent;
  spent_in_interval_ += spent;
  if (end >= interval_start_ + kInterval) EndInterval(end);
}

void DecisionPacer::EndInterval(TimePoint end) {
  const Duration length = end - interval_start_;
  const Duration spent = spent_in_interval_ * kWhole;
  interval_start_ = end;
  spent_in_interval_ = Duration{0};
  if (spent >= length * kOverloadedShare) {
    overloaded_ = true;
    calm_intervals_ = 0;
    return;
  }
  calm_intervals_ = spent < length * kCalmShare ? calm_intervals_ + 1 : 0;
  if (calm_intervals_ >= kCalmIntervals) overloaded_ = false;
}

}  // namespace chivewing
