#include "placement/worker_event_handler.h"

#include "placement/placer_state.h"
#include "placement/task_event_handler.h"

namespace chivewing {

void WorkerEventHandler::Upsert(TimePoint now, const WorkerSpec& worker,
                                Effects& effects) {
  if (worker.state == WorkerState::kGone) {
    Remove(now, worker.id, effects);
    return;
  }
  const WorkerIndex known = state_.workers.Find(worker.id);
  const bool was_live =
      known != kNoIndex &&
      state_.workers.at(known).spec.state == WorkerState::kLive;
  const bool is_live = worker.state == WorkerState::kLive;
  const WorkerIndex index = state_.workers.Upsert(worker);
  if (was_live && !is_live) {
    state_.RemoveClaimsOnWorker(index);
    tasks_.OnWorkerNotLive(now, index, effects);
  }
  if (!was_live && is_live) tasks_.OnWorkerLive(now, index, effects);
}

void WorkerEventHandler::Remove(TimePoint now, const WorkerId& worker,
                                Effects& effects) {
  const WorkerIndex index = state_.workers.Find(worker);
  if (index == kNoIndex) return;
  state_.RemoveClaimsOnWorker(index);
  tasks_.OnWorkerRemoved(now, index, effects);
  state_.health.ForgetWorker(worker);
  state_.RemoveFromAvoidedWorkers(index);
  state_.reservations.ForgetWorker(index);
  state_.workers.Remove(index);
}

void WorkerEventHandler::OnProbeCompleted(TimePoint now, const WorkerId& worker,
                                          bool succeeded, Effects& effects) {
  const std::size_t first = effects.size();
  state_.health.OnProbeCompleted(now, worker, succeeded, effects);
  state_.ApplyQuarantineChanges(effects, first);
}

}  // namespace chivewing
