#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"
#include "dispatch/dispatch_state.h"

namespace chivewing {

// What a step with waiting tasks was found to wait for, and what it would need.
struct StepWaitDetails {
  std::size_t waiting_tasks = 0;
  std::size_t workers_with_room = 0;  // that accept tasks of the step now
  // Of those, by the advice that the step has got; the rest has no verdict.
  std::size_t with_ticket = 0;
  std::size_t rejected = 0;
  std::size_t approved = 0;  // workers, with room or not
  std::uint64_t pending_request_id = 0;
};

// Reads what the step waits for; nullopt if none of its tasks waits.
std::optional<StepWaitDetails> ReadStepWait(TimePoint now, DispatchState& state,
                                            const StepKey& step);

// Writes log lines about what does not get on: steps that have waited for
// seconds although workers have room for them, and runs whose start has not
// been confirmed for seconds. At most a few lines an interval, those that have
// waited longest first. Does no I/O apart from logging.
class StepWaitReporter {
 public:
  explicit StepWaitReporter(DispatchState& state) : state_(state) {}

  void Report(TimePoint now);

 private:
  void ReportSteps(TimePoint now) const;
  void ReportRuns(TimePoint now) const;

  DispatchState& state_;
  TimePoint reported_at_{};
};

}  // namespace chivewing
