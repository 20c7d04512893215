#include "dispatch/ready_steps.h"

#include <algorithm>

namespace chivewing {
namespace {

// The queue of waiting steps of an index that is true for slow requests.
std::size_t HostQueue(bool slow) { return slow ? 1 : 0; }

}  // namespace

void ReadySteps::Set(const ReadyStepKey& key, TrackedJob& job) {
  const ReadyStepKey* const known = Find(key.step);
  if (known == nullptr || *known != key) {
    Clear(key.step);
    Entry entry;
    entry.job = &job;
    entry.step = job.FindStep(key.step.occurrence, key.step.step);
    entry.held = job.spec(key.step.step).ResourcesHeld();
    keys_[key.step] = key;
    for (const auto& [worker, approval] : entry.step->advice.approved()) {
      by_approved_worker_[worker].insert(key.step);
    }
    steps_.emplace(key, entry);
  }
  due_[key].always = true;
}

void ReadySteps::Clear(const StepKey& step) {
  const auto found = keys_.find(step);
  if (found == keys_.end()) return;
  const ReadyStepKey key = found->second;
  const Entry& entry = steps_.at(key);
  for (const auto& [worker, approval] : entry.step->advice.approved()) {
    const auto waiters = by_approved_worker_.find(worker);
    if (waiters != by_approved_worker_.end()) waiters->second.erase(step);
  }
  Unpark(key);
  due_.erase(key);
  steps_.erase(key);
  keys_.erase(found);
}

const ReadyStepKey* ReadySteps::Find(const StepKey& step) const {
  const auto found = keys_.find(step);
  return found == keys_.end() ? nullptr : &found->second;
}

std::vector<StepKey> ReadySteps::Steps() const {
  std::vector<StepKey> out;
  out.reserve(steps_.size());
  for (const auto& [key, entry] : steps_) out.push_back(key.step);
  return out;
}

void ReadySteps::Wake(const StepKey& step) {
  if (const ReadyStepKey* const key = Find(step)) due_[*key].always = true;
}

void ReadySteps::WakeAll() {
  for (const auto& [key, entry] : steps_) due_[key].always = true;
}

void ReadySteps::OnRoomFreed(const TrackedWorker& worker) {
  const WorkerId& id = worker.registration().worker;
  const auto approved = by_approved_worker_.find(id);
  if (approved != by_approved_worker_.end()) {
    std::erase_if(approved->second, [&](const StepKey& step) {
      const auto key = keys_.find(step);
      if (key == keys_.end()) return true;  // its verdict had been dropped
      WakeIfFits(key->second, steps_.at(key->second), worker);
      return false;
    });
  }
  for (const ReadyStepKey& key : room_waiters_) {
    const Entry& entry = steps_.at(key);
    if (!entry.step->advice.IsRejected(id)) WakeIfFits(key, entry, worker);
  }
}

void ReadySteps::WakeIfFits(const ReadyStepKey& key, const Entry& entry,
                            const TrackedWorker& worker) {
  if (!Fits(entry.held, worker.free_resources())) return;
  due_[key].freed.push_back(&worker);
}

void ReadySteps::OnApproved(const StepKey& step,
                            const std::vector<WorkerTicket>& tickets) {
  if (!keys_.contains(step)) return;
  for (const WorkerTicket& ticket : tickets) {
    by_approved_worker_[ticket.worker].insert(step);
  }
}

void ReadySteps::Park(const ReadyStepKey& key, StepWait wait) {
  const auto found = steps_.find(key);
  if (found == steps_.end()) return;
  found->second.step->wait = wait;
  switch (wait) {
    case StepWait::kAttempt:
    case StepWait::kAdvice:
    case StepWait::kEarlierRuns:
    case StepWait::kRowRefused:
      return;
    case StepWait::kRoom:
      room_waiters_.insert(key);
      return;
    case StepWait::kQuickAdviceHost:
      host_waiters_[HostQueue(false)].insert(key);
      return;
    case StepWait::kSlowAdviceHost:
      host_waiters_[HostQueue(true)].insert(key);
      return;
  }
}

void ReadySteps::Unpark(const ReadyStepKey& key) {
  room_waiters_.erase(key);
  for (std::set<ReadyStepKey>& waiters : host_waiters_) waiters.erase(key);
}

std::optional<ReadyStepKey> ReadySteps::TakeDue() {
  while (!due_.empty()) {
    const auto node = due_.extract(due_.begin());
    const ReadyStepKey& key = node.key();
    const Due& due = node.mapped();
    const Resources held = steps_.at(key).held;
    const bool worth_it =
        due.always || std::any_of(due.freed.begin(), due.freed.end(),
                                  [&](const TrackedWorker* worker) {
                                    return Fits(held, worker->free_resources());
                                  });
    if (!worth_it) continue;
    Unpark(key);
    return key;
  }
  return std::nullopt;
}

std::optional<ReadyStepKey> ReadySteps::TakeAdviceHostWaiter(bool slow) {
  std::set<ReadyStepKey>& waiters = host_waiters_[HostQueue(slow)];
  if (waiters.empty()) return std::nullopt;
  const ReadyStepKey key = *waiters.begin();
  Unpark(key);
  return key;
}

}  // namespace chivewing
