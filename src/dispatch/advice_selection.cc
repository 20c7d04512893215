#include "dispatch/advice_selection.h"

#include <algorithm>
#include <functional>

namespace chivewing {
namespace {

// Room to request advice for, as a multiple of what is needed: the approval
// rate is only an average, and other steps take resources meanwhile.
constexpr double kRequestedRoomFactor = 1.5;
constexpr std::size_t kMinWorkers = 12;
constexpr std::size_t kMaxWorkers = 100;  // limit of the advice service
// Tickets that a step tries to have while its workers are full, and the workers
// of one request for them.
constexpr double kTicketsWhenFull = 40;
constexpr std::size_t kMaxWorkersWhenFull = 30;

// A number of free processors, between `least` and `most`, from which a step
// looks for workers. Steps that asked about the same workers would find them
// full when the response arrives.
std::int64_t SpreadStart(const StepKey& step, std::int64_t least,
                         std::int64_t most) {
  const std::size_t hash = std::hash<JobId>{}(step.job) + step.step;
  return least + static_cast<std::int64_t>(
                     hash % static_cast<std::size_t>(most - least + 1));
}

}  // namespace

AdviceSelection::AdviceSelection(TimePoint now, DispatchState& state,
                                 const StepPlacement& placement,
                                 std::size_t missing, Duration renewal)
    : state_(state),
      placement_(placement),
      advice_(placement.step().advice),
      now_(now),
      missing_(missing),
      renew_until_(now + renewal),
      approval_rate_(
          state.advice.ApprovalRate(placement.job().record.queue.name)) {
  for (const auto& [id, approval] : advice_.approved()) {
    if (approval.expires > renew_until_) expected_tickets_ += 1;
  }
  AddWithRoom();
  // A step that asks again has lost the room that it had asked about.
  if (!HasEnoughRoom() || !advice_.approved().empty()) AddFull();
}

bool AdviceSelection::HasEnoughRoom() const {
  if (workers_.size() >= kMaxWorkers) return true;
  return workers_.size() >= kMinWorkers &&
         expected_room_ >= kRequestedRoomFactor * static_cast<double>(missing_);
}

bool AdviceSelection::HasEnoughTickets() const {
  return workers_.size() >= kMaxWorkersWhenFull ||
         expected_tickets_ >= kTicketsWhenFull;
}

bool AdviceSelection::HasVerdict(const WorkerId& worker) const {
  return advice_.IsApproved(worker) || advice_.IsRejected(worker);
}

void AdviceSelection::AddWithRoom() {
  const Order& order = OrderOfService();
  const std::int64_t least = placement_.held().processors_milli;
  const auto first = order.lower_bound({least, {}, nullptr});
  const std::int64_t most =
      first == order.end() ? least : order.rbegin()->free_processors_milli;
  AddUntil(&AdviceSelection::HasEnoughRoom, &AdviceSelection::AddIfRoom, first,
           StartIn(least, most), order.end());
}

void AdviceSelection::AddFull() {
  const Order& order = OrderOfService();
  const std::int64_t most = placement_.held().processors_milli;
  AddUntil(&AdviceSelection::HasEnoughTickets, &AdviceSelection::AddIfFull,
           order.begin(), StartIn(0, most),
           order.lower_bound({most, {}, nullptr}));
}

void AdviceSelection::AddUntil(IsEnough is_enough, AddWorker add,
                               Order::const_iterator first,
                               Order::const_iterator start,
                               Order::const_iterator last) {
  for (const auto& [id, approval] : advice_.approved()) {
    if ((this->*is_enough)()) return;
    const TrackedWorker* const worker = state_.free_workers.Find(id);
    if (worker != nullptr && approval.expires <= renew_until_)
      (this->*add)(*worker, 1.0);
  }
  const auto add_range = [&](auto from, auto to) {
    for (auto entry = from; entry != to && !(this->*is_enough)(); ++entry) {
      if (!HasVerdict(entry->id)) (this->*add)(*entry->worker, approval_rate_);
    }
  };
  add_range(start, last);
  add_range(first, start);
}

const AdviceSelection::Order& AdviceSelection::OrderOfService() const {
  return state_.free_workers.OfService(placement_.job().record.queue.service);
}

AdviceSelection::Order::const_iterator AdviceSelection::StartIn(
    std::int64_t least, std::int64_t most) const {
  return OrderOfService().lower_bound(
      {SpreadStart(placement_.key(), least, most), {}, nullptr});
}

void AdviceSelection::AddIfRoom(const TrackedWorker& worker,
                                double approval_rate) {
  ++state_.counts.workers_examined;
  const std::size_t fitting = placement_.CountFitting(worker);
  if (fitting == 0 || !placement_.MayRun(now_, worker)) return;
  expected_room_ +=
      static_cast<double>(std::min(fitting, missing_)) * approval_rate;
  Add(worker, approval_rate);
}

void AdviceSelection::AddIfFull(const TrackedWorker& worker,
                                double approval_rate) {
  ++state_.counts.workers_examined;
  const bool may_hold = Fits(placement_.held(), worker.registration().capacity);
  if (may_hold && placement_.MayRun(now_, worker)) Add(worker, approval_rate);
}

void AdviceSelection::Add(const TrackedWorker& worker, double approval_rate) {
  if (!workers_.insert(worker.registration().worker).second) return;
  expected_tickets_ += approval_rate;
}

}  // namespace chivewing
