#include "placement/worker_events.h"

#include "placement/task_events.h"
#include "placement/zone_state.h"

namespace chivewing {

void WorkerEvents::Upsert(TimePoint now, const WorkerSpec& worker,
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
    state_.DropClaimsOn(index);
    tasks_.WorkerLeaving(now, index, effects);
  }
  if (!was_live && is_live) tasks_.WorkerBack(now, index, effects);
}

void WorkerEvents::Remove(TimePoint now, const WorkerId& worker,
                          Effects& effects) {
  const WorkerIndex index = state_.workers.Find(worker);
  if (index == kNoIndex) return;
  state_.DropClaimsOn(index);
  tasks_.WorkerGone(now, index, effects);
  state_.health.ForgetWorker(worker);
  state_.ForgetAvoided(index);
  state_.reservations.ForgetWorker(index);
  state_.workers.Remove(index);
}

void WorkerEvents::ProbeEnded(TimePoint now, const WorkerId& worker, bool good,
                              Effects& effects) {
  const std::size_t first = effects.size();
  state_.health.ProbeEnded(now, worker, good, effects);
  state_.ApplyHealth(effects, first);
}

}  // namespace chivewing
