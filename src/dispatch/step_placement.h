#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dispatch/dispatch_state.h"

namespace chivewing {

// One attempt to place the waiting tasks of a step: the tasks, and the workers
// that may run them, best fit first. Does no I/O.
class StepPlacement {
 public:
  // Needs a step that is known.
  StepPlacement(DispatchState& state, const StepKey& key);

  const StepKey& key() const { return key_; }
  TrackedJob& job() const { return job_; }
  TrackedStep& step() const { return step_; }
  const StepSpec& spec() const { return spec_; }
  const std::optional<AdvicePolicy>& advice() const {
    return job_.record.queue.advice;
  }
  const Resources& held() const { return held_; }  // by one task
  // Indices of the tasks to start.
  const std::vector<std::size_t>& waiting() const { return waiting_; }

  // Reads which workers have room now and may run the step. With advice these
  // are workers with a valid ticket.
  void FindCandidates(TimePoint now);
  // Of the candidates, the one with the fewest free processors left after it.
  // Workers outside the data's rack come after all others, and workers on which
  // the task has failed come last. `task` may be nullptr.
  TrackedWorker* ChooseWorker(const TrackedTask* task);
  // The same for a task that needs a worker alone: an idle one of the
  // candidates, or the one with the fewest runs after a wait. nullptr also if
  // no more such tasks may be started.
  TrackedWorker* ChooseIdleWorker(TimePoint now);
  // A task has been placed on the worker.
  void CountTask(const WorkerId& worker) { ++count_[worker]; }

  // True if the step may run on this worker, which accepts tasks.
  bool MayRun(TimePoint now, const TrackedWorker& worker) const;
  // The number of tasks that the worker has room for.
  std::size_t CountFitting(const TrackedWorker& worker) const;

 private:
  struct Candidate {
    bool off_rack = false;
    std::int64_t free_processors_milli = 0;
    TrackedWorker* worker = nullptr;
  };
  void FindApproved(TimePoint now);
  void FindAny(TimePoint now);
  void AddCandidate(TrackedWorker& worker);

  DispatchState& state_;
  const StepKey key_;
  TrackedJob& job_;
  TrackedStep& step_;
  const StepSpec& spec_;
  const Resources held_;
  std::vector<std::size_t> waiting_;
  std::map<WorkerId, std::size_t> count_;  // runs of the step by worker
  TimePoint now_{};                        // of the candidates
  std::vector<Candidate> candidates_;
  std::size_t first_ = 0;  // all candidates before it are full
};

}  // namespace chivewing
