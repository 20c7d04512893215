#include "dispatch/step_scheduler.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "dispatch/advice_selection.h"
#include "dispatch/crash_policy.h"

namespace chivewing {
namespace {

// A request times out after its expected duration times the factor, plus the
// slack.
constexpr int kTimeoutFactor = 3;
constexpr std::chrono::milliseconds kTimeoutSlack{300};
// No task is started while a command could grant less than this.
constexpr std::chrono::seconds kMinLeaseToStart{1};

std::chrono::microseconds ExpectedDuration(const AdvicePolicy& policy,
                                           std::size_t workers) {
  return policy.decide + policy.each * static_cast<std::int64_t>(workers);
}

}  // namespace

void StepScheduler::ScheduleReadySteps(TimePoint now, DispatchEffects& out) {
  if (state_.GrantableLease(now) < kMinLeaseToStart) return;
  for (const WorkerId& id : state_.freed_workers) {
    state_.ready.OnRoomFreed(*state_.FindWorker(id));
  }
  state_.freed_workers.clear();
  state_.advice.set_slow_waiting(state_.ready.HasAdviceHostWaiter(true));
  while (const auto key = state_.ready.TakeDue()) TryStep(now, *key, out);
  state_.advice.set_slow_waiting(state_.ready.HasAdviceHostWaiter(true));
  for (const bool slow : {false, true}) {
    while (state_.ready.HasAdviceHostWaiter(slow) &&
           state_.advice.HasFreeHost(now, slow)) {
      TryStep(now, *state_.ready.TakeAdviceHostWaiter(slow), out);
    }
  }
}

void StepScheduler::TryStep(TimePoint now, const ReadyStepKey& key,
                            DispatchEffects& out) {
  const TrackedJob& job = *state_.FindJob(key.step.job);
  const StepSpec& spec = job.spec(key.step.step);
  StepPlacement placement(state_, key.step);
  const std::size_t wanted = placement.waiting().size();
  if (wanted == 0) return;
  TimePoint& waiting_since = placement.step().waiting_since;
  if (waiting_since == TimePoint{}) waiting_since = now;
  const bool suspects = std::any_of(
      placement.waiting().begin(), placement.waiting().end(),
      [&](std::size_t i) { return IsSuspected(placement.step().tasks[i]); });
  if (job.uncertain && (!spec.copies_allowed || suspects)) {
    state_.ready.Park(key, StepWait::kEarlierRuns);
    return;
  }
  // Its ends could not be taken note of.
  if (state_.refused_rows.IsSetAside(key.step.job)) {
    state_.ready.Park(key, StepWait::kRowRefused);
    return;
  }
  ++state_.counts.steps_tried;
  for (const std::size_t index : placement.waiting()) {
    const TrackedTask& task = placement.step().tasks[index];
    if (task.next_start_noted || !IsGivenUp(task, spec)) continue;
    jobs_.GiveUp(placement.job(),
                 {key.step.job, key.step.occurrence, key.step.step, index});
    return;
  }
  placement.FindCandidates(now);
  const std::size_t placed = spec.gang ? PlaceGang(now, placement, out)
                                       : PlaceTasks(now, placement, out);
  if (placed > 0) waiting_since = now;
  if (placed == wanted) {
    waiting_since = TimePoint{};
    state_.ready.Clear(key.step);
    return;
  }
  state_.ready.Park(key, RequestAdvice(now, placement, wanted - placed, out));
}

std::size_t StepScheduler::PlaceTasks(TimePoint now, StepPlacement& placement,
                                      DispatchEffects& out) {
  std::size_t placed = 0;
  for (const std::size_t index : placement.waiting()) {
    TrackedTask& task = placement.step().tasks[index];
    const bool suspected = NeedsNote(task, placement.spec());
    TrackedWorker* const worker = suspected
                                      ? ChooseForSuspect(now, placement, task)
                                      : placement.ChooseWorker(&task);
    if (worker == nullptr && suspected) continue;
    if (worker == nullptr) break;
    const WorkerId id = worker->registration().worker;
    const std::string* const ticket = placement.step().advice.FindTicket(
        id, now + state_.options.ticket_margin);
    const std::uint64_t number =
        std::max(task.highest_run, placement.job().run_number_floor) + 1;
    const TaskKey key{placement.key().job, placement.key().occurrence,
                      placement.key().step, index};
    runs_.Start(now, placement.job(), key, *worker, number,
                ticket == nullptr ? "" : *ticket, out);
    placement.CountTask(id);
    ++placed;
  }
  return placed;
}

TrackedWorker* StepScheduler::ChooseForSuspect(TimePoint now,
                                               StepPlacement& placement,
                                               TrackedTask& task) {
  TrackedJob& job = placement.job();
  const bool alone = NeedsWorkerAlone(task, placement.spec());
  const bool noted =
      task.next_start_noted && task.progress.noted_start->isolated == alone;
  if (noted && job.suspicions > job.suspicions_saved) return nullptr;
  TrackedWorker* const worker =
      alone ? placement.ChooseIdleWorker(now) : placement.ChooseWorker(&task);
  if (worker == nullptr || noted) return worker;
  jobs_.NoteStart(job, task, alone);
  return nullptr;
}

bool StepScheduler::IsGangSuspected(StepPlacement& placement) {
  const std::vector<TrackedTask>& tasks = placement.step().tasks;
  return std::any_of(tasks.begin(), tasks.end(), IsSuspected);
}

// Notes the starts of all members, if that has not been done.
bool StepScheduler::IsGangStartNoted(StepPlacement& placement) {
  TrackedJob& job = placement.job();
  std::vector<TrackedTask>& tasks = placement.step().tasks;
  const bool noted = std::all_of(
      tasks.begin(), tasks.end(),
      [](const TrackedTask& task) { return task.next_start_noted; });
  if (noted) return job.suspicions <= job.suspicions_saved;
  for (TrackedTask& task : tasks) jobs_.NoteStart(job, task, false);
  return false;
}

// Starts all tasks of the gang or none. The resources are reserved while the
// workers are chosen and released before the runs start.
std::size_t StepScheduler::PlaceGang(TimePoint now, StepPlacement& placement,
                                     DispatchEffects& out) {
  std::vector<TrackedWorker*> chosen;
  for (std::size_t i = 0; i < placement.waiting().size(); ++i) {
    TrackedWorker* const worker = placement.ChooseWorker(nullptr);
    if (worker == nullptr) break;
    worker->Occupy(placement.held());
    placement.CountTask(worker->registration().worker);
    chosen.push_back(worker);
  }
  for (TrackedWorker* const worker : chosen) worker->Release(placement.held());
  if (chosen.size() < placement.waiting().size()) return 0;
  if (IsGangSuspected(placement) && !IsGangStartNoted(placement)) return 0;
  std::uint64_t number = placement.job().run_number_floor;
  std::string saved;
  for (const TrackedTask& task : placement.step().tasks) {
    number = std::max(number, task.highest_run);
    if (saved.empty()) saved = task.progress.saved;
  }
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    const std::size_t index = placement.waiting()[i];
    placement.step().tasks[index].progress.saved = saved;
    const WorkerId id = chosen[i]->registration().worker;
    const std::string* const ticket = placement.step().advice.FindTicket(
        id, now + state_.options.ticket_margin);
    const TaskKey key{placement.key().job, placement.key().occurrence,
                      placement.key().step, index};
    runs_.Start(now, placement.job(), key, *chosen[i], number + 1,
                ticket == nullptr ? "" : *ticket, out);
  }
  return chosen.size();
}

// Requests advice about workers that the step could use. Returns what it waits
// for after that.
StepWait StepScheduler::RequestAdvice(TimePoint now,
                                      const StepPlacement& placement,
                                      std::size_t missing,
                                      DispatchEffects& out) {
  if (!placement.advice()) return StepWait::kRoom;
  StepAdviceCache& advice = placement.step().advice;
  if (advice.pending_request_id() != 0) return StepWait::kAdvice;
  PendingAdviceRequest request;
  request.workers = AdviceSelection(now, state_, placement, missing,
                                    state_.options.ticket_margin)
                        .workers();
  if (request.workers.empty()) return StepWait::kRoom;
  const auto duration =
      ExpectedDuration(*placement.advice(), request.workers.size());
  const auto advice_host = state_.advice.FindAdviceHost(now, duration);
  const bool slow = AdviceRequestManager::IsSlow(duration);
  if (!advice_host) {
    return slow ? StepWait::kSlowAdviceHost : StepWait::kQuickAdviceHost;
  }
  const auto timeout =
      std::chrono::ceil<std::chrono::milliseconds>(duration) * kTimeoutFactor +
      kTimeoutSlack;
  AdviceRequest effect;
  effect.advice_host = *advice_host;
  effect.step = placement.key();
  effect.workers.assign(request.workers.begin(), request.workers.end());
  effect.timeout = timeout;
  request.advice_host = *advice_host;
  request.step = placement.key();
  request.queue = placement.job().record.queue.name;
  request.sent = now;
  request.timeout_at = now + timeout;
  request.slow = slow;
  effect.request_id = state_.advice.AddRequest(std::move(request));
  advice.set_pending_request_id(effect.request_id);
  ++state_.counts.asks;
  out.emplace_back(std::move(effect));
  return StepWait::kAdvice;
}

}  // namespace chivewing
