#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "base/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/step_placement.h"

namespace chivewing {

// Chooses the workers about which advice is requested for a step.
//
// Answers the load of a full cluster. There, a step that knows only workers
// with room has lost that room to steps with tickets when the response
// arrives, whatever their priority. So if the room is short, full workers are
// asked about too: the verdict does not change, and the step takes its turn
// when one of them has room again.
class AdviceSelection {
 public:
  // For `missing` tasks of the step. `renewal` is how long before its end a
  // ticket counts as expired.
  AdviceSelection(TimePoint now, DispatchState& state,
                  const StepPlacement& placement, std::size_t missing,
                  Duration renewal);

  // At most 100 workers; none if the step has the tickets that it can use.
  const std::set<WorkerId>& workers() const { return workers_; }

 private:
  using Order = FreeWorkerIndex::Order;
  using IsEnough = bool (AdviceSelection::*)() const;
  using AddWorker = void (AdviceSelection::*)(const TrackedWorker&, double);

  bool HasEnoughRoom() const;
  bool HasEnoughTickets() const;
  void AddWithRoom();
  void AddFull();
  // Adds workers that were approved before and whose tickets have expired, then
  // those without a verdict: from `start` to `last`, then from `first` on.
  void AddUntil(IsEnough is_enough, AddWorker add, Order::const_iterator first,
                Order::const_iterator start, Order::const_iterator last);
  const Order& OrderOfService() const;
  // Where this step begins among workers with `least` to `most` free
  // processors.
  Order::const_iterator StartIn(std::int64_t least, std::int64_t most) const;
  void AddIfRoom(const TrackedWorker& worker, double approval_rate);
  void AddIfFull(const TrackedWorker& worker, double approval_rate);
  void Add(const TrackedWorker& worker, double approval_rate);
  bool HasVerdict(const WorkerId& worker) const;

  DispatchState& state_;
  const StepPlacement& placement_;
  const StepAdviceCache& advice_;
  const TimePoint now_;
  const std::size_t missing_;
  const TimePoint renew_until_;
  const double approval_rate_;
  std::set<WorkerId> workers_;
  double expected_room_ = 0;     // in tasks, on the chosen workers
  double expected_tickets_ = 0;  // valid ones and those of the response
};

}  // namespace chivewing
