#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/time.h"
#include "dispatch/step_wait.h"
#include "dispatch/tracked_job.h"
#include "dispatch/tracked_worker.h"

namespace chivewing {

// Sort key of a step that has tasks to start: the smallest is scheduled first.
struct ReadyStepKey {
  bool useless = false;  // JobUrgency::kUseless, behind all priorities
  int priority = 0;
  bool late = false;  // JobUrgency::kLate or kUseless
  TimePoint due{};    // objective of the job
  StepKey step{};

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator
  friend auto operator<=>(const ReadyStepKey&, const ReadyStepKey&) = default;
  friend bool operator==(const ReadyStepKey&, const ReadyStepKey&) = default;
};

// The steps that have tasks to start, and which of them are worth an attempt:
// those that are new, and those for which what they wait for has come. A step
// waits for room on the workers that its advice approves, and if it may ask
// about more, on all that its advice has not rejected. Does no I/O.
class ReadySteps {
 public:
  // Adds the step of the job, or moves it to this place; it is then due.
  void Set(const ReadyStepKey& key, TrackedJob& job);
  void Clear(const StepKey& step);
  // The step's place; nullptr if it has no tasks to start.
  const ReadyStepKey* Find(const StepKey& step) const;
  std::size_t size() const { return steps_.size(); }
  bool empty() const { return steps_.empty(); }
  // All steps, the most urgent first.
  std::vector<StepKey> Steps() const;

  // Makes a step due, or all of them.
  void Wake(const StepKey& step);
  void WakeAll();
  // A worker can hold more than before: the steps that it may help are due.
  void OnRoomFreed(const TrackedWorker& worker);
  // The advice service has approved workers for the step.
  void OnApproved(const StepKey& step,
                  const std::vector<WorkerTicket>& tickets);
  // An attempt has left tasks waiting.
  void Park(const ReadyStepKey& key, StepWait wait);

  // Removes and returns the first due step. A step that is due only because of
  // room that other steps have taken meanwhile is skipped.
  std::optional<ReadyStepKey> TakeDue();
  // Removes and returns the first step that waits for an advice host.
  std::optional<ReadyStepKey> TakeAdviceHostWaiter(bool slow);
  bool HasAdviceHostWaiter(bool slow) const {
    return !host_waiters_[slow ? 1 : 0].empty();
  }

 private:
  struct Entry {
    TrackedJob* job = nullptr;
    TrackedStep* step = nullptr;
    Resources held{};  // by one task
  };
  struct Due {
    bool always = false;
    std::vector<const TrackedWorker*> freed{};  // reasons, unless `always`
  };
  void WakeIfFits(const ReadyStepKey& key, const Entry& entry,
                  const TrackedWorker& worker);
  void Unpark(const ReadyStepKey& key);

  std::map<ReadyStepKey, Entry> steps_;
  std::map<StepKey, ReadyStepKey> keys_;
  std::map<ReadyStepKey, Due> due_;
  std::set<ReadyStepKey> room_waiters_;
  std::set<ReadyStepKey> host_waiters_[2];  // quick and slow requests
  std::map<WorkerId, std::set<StepKey>> by_approved_worker_;
};

}  // namespace chivewing
