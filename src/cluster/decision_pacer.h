#pragma once

#include "base/time.h"

namespace chivewing {

// Limits the part of the time that a dispatching host spends on decisions, so
// that the threads which carry its polls, answers and commits get the processor
// too: after each decision the next one waits as long as the decision took.
// Under little load a decision takes a fraction of a millisecond, and so does
// the wait. Reads no clock; the caller measures.
class DecisionPacer {
 public:
  // A decision that took `spent` has ended at `end`.
  void OnDecision(TimePoint end, Duration spent);

  // No decision before this time.
  TimePoint next_decision() const { return next_decision_; }
  // True while decisions take most of the time that they may take. Starts and
  // ends only after whole intervals above or below its two limits.
  bool overloaded() const { return overloaded_; }

 private:
  void EndInterval(TimePoint end);

  TimePoint next_decision_{};
  TimePoint interval_start_{};
  Duration spent_in_interval_{0};
  int calm_intervals_ = 0;
  bool overloaded_ = false;
};

}  // namespace chivewing
