#include "dispatch/step_placement.h"

#include <algorithm>
#include <chrono>
#include <tuple>

#include "dispatch/crash_policy.h"

namespace chivewing {
namespace {

// A task that needs a worker alone shares the one with the fewest runs after
// this wait.
constexpr std::chrono::milliseconds kLongestWaitForIdleWorker{1500};

}  // namespace

StepPlacement::StepPlacement(DispatchState& state, const StepKey& key)
    : state_(state),
      key_(key),
      job_(*state.FindJob(key.job)),
      step_(*job_.FindStep(key.occurrence, key.step)),
      spec_(job_.spec(key.step)),
      held_(spec_.ResourcesHeld()),
      waiting_(job_.WaitingTasks(key.occurrence, key.step)) {
  for (const std::size_t index : state.TasksToCopy(key)) {
    waiting_.push_back(index);
  }
  for (const TrackedTask& task : step_.tasks) {
    for (const std::uint64_t id : task.runs) {
      if (const Run* const run = state.runs.Find(id)) CountTask(run->worker);
    }
  }
}

bool StepPlacement::MayRun(TimePoint now, const TrackedWorker& worker) const {
  if (now < worker.backoff_until) return false;
  if (state_.IsIsolated(now, worker.registration().worker)) return false;
  const WorkerRegistration& registration = worker.registration();
  if (registration.service != job_.record.queue.service) return false;
  const std::string& label = spec_.required_label;
  return label.empty() || label == registration.kind ||
         label == registration.rack;
}

std::size_t StepPlacement::CountFitting(const TrackedWorker& worker) const {
  const std::int64_t by_resources = CountFits(held_, worker.free_resources());
  if (by_resources <= 0) return 0;
  auto fitting = static_cast<std::size_t>(by_resources);
  if (spec_.most_per_worker > 0) {
    const auto existing = count_.find(worker.registration().worker);
    const std::size_t used = existing == count_.end() ? 0 : existing->second;
    const std::size_t most = spec_.most_per_worker;
    fitting = std::min(fitting, most > used ? most - used : 0);
  }
  return fitting;
}

void StepPlacement::FindCandidates(TimePoint now) {
  now_ = now;
  candidates_.clear();
  first_ = 0;
  if (advice()) {
    FindApproved(now);
  } else {
    FindAny(now);
  }
  std::sort(candidates_.begin(), candidates_.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.off_rack, a.free_processors_milli,
                              a.worker->registration().worker) <
                     std::tie(b.off_rack, b.free_processors_milli,
                              b.worker->registration().worker);
            });
}

void StepPlacement::FindApproved(TimePoint now) {
  const TimePoint margin = now + state_.options.ticket_margin;
  for (const auto& [id, approval] : step_.advice.approved()) {
    ++state_.counts.workers_examined;
    if (approval.expires <= margin) continue;
    TrackedWorker* const worker = state_.free_workers.Find(id);
    if (worker == nullptr || !MayRun(now, *worker)) continue;
    if (CountFitting(*worker) > 0) AddCandidate(*worker);
  }
}

void StepPlacement::FindAny(TimePoint now) {
  // Each task that may choose by more than its fit needs all candidates.
  const bool best_fit_only =
      spec_.data_rack.empty() &&
      std::all_of(waiting_.begin(), waiting_.end(), [this](std::size_t index) {
        const TrackedTask& task = step_.tasks[index];
        return task.failed_on.empty() && !NeedsWorkerAlone(task, spec_);
      });
  std::size_t room = 0;
  const FreeWorkerIndex::Order& order =
      state_.free_workers.OfService(job_.record.queue.service);
  for (auto entry = order.lower_bound({held_.processors_milli, {}, nullptr});
       entry != order.end(); ++entry) {
    ++state_.counts.workers_examined;
    if (!MayRun(now, *entry->worker)) continue;
    const std::size_t fitting = CountFitting(*entry->worker);
    if (fitting == 0) continue;
    AddCandidate(*entry->worker);
    room += fitting;
    if (best_fit_only && room >= waiting_.size()) return;
  }
}

void StepPlacement::AddCandidate(TrackedWorker& worker) {
  const std::string& rack = spec_.data_rack;
  candidates_.push_back({!rack.empty() && worker.registration().rack != rack,
                         worker.free_resources().processors_milli, &worker});
}

// All tasks of a step have one size, so the best fit stays the best fit until
// it is full.
TrackedWorker* StepPlacement::ChooseWorker(const TrackedTask* task) {
  TrackedWorker* failed_before = nullptr;
  for (std::size_t i = first_; i < candidates_.size(); ++i) {
    TrackedWorker& worker = *candidates_[i].worker;
    ++state_.counts.workers_examined;
    const WorkerId& id = worker.registration().worker;
    if (CountFitting(worker) == 0 || state_.IsIsolated(now_, id)) {
      if (i == first_) ++first_;
      continue;
    }
    if (task == nullptr ||
        !task->failed_on.contains(worker.registration().worker))
      return &worker;
    if (failed_before == nullptr) failed_before = &worker;
  }
  return failed_before;
}

TrackedWorker* StepPlacement::ChooseIdleWorker(TimePoint now) {
  if (!state_.MayIsolate(now)) return nullptr;
  TrackedWorker* least_used = nullptr;
  std::size_t least_runs = 0;
  for (const Candidate& candidate : candidates_) {
    ++state_.counts.workers_examined;
    TrackedWorker& worker = *candidate.worker;
    const WorkerId& id = worker.registration().worker;
    if (CountFitting(worker) == 0 || state_.IsIsolated(now, id)) continue;
    const std::size_t runs = state_.runs.OnWorker(id).size();
    if (least_used != nullptr && runs >= least_runs) continue;
    least_used = &worker;
    least_runs = runs;
  }
  // No worker becomes idle where each runs something that lasts.
  const bool waits_long =
      step_.waiting_since != TimePoint{} &&
      now >= step_.waiting_since + kLongestWaitForIdleWorker;
  return least_runs == 0 || waits_long ? least_used : nullptr;
}

}  // namespace chivewing
