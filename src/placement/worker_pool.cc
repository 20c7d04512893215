#include "placement/worker_pool.h"

#include <algorithm>

#include "placement/check.h"

namespace chivewing {
namespace {

constexpr Resources kUnavailable{-1, -1, -1};

double Reciprocal(std::int64_t capacity) {
  return capacity > 0 ? 1.0 / static_cast<double>(capacity) : 0.0;
}

bool HasGrown(const Resources& before, const Resources& after) {
  return after.processors_milli > before.processors_milli ||
         after.memory_mb > before.memory_mb ||
         after.accelerators > before.accelerators;
}

}  // namespace

WorkerIndex WorkerPool::Upsert(const WorkerSpec& spec) {
  WorkerIndex index = workers_.Find(spec.id);
  if (index == kNoIndex) {
    index = workers_.Add(spec.id, Worker());
    free_resources_.resize(workers_.end_index());
    free_resources_[index].free = kUnavailable;
    workers_.at(index).spec.state = WorkerState::kGone;
  }
  Worker& worker = workers_.at(index);
  AdjustCapacityCount(worker.spec, -1);
  AdjustCapacityCount(spec, 1);
  worker.spec = spec;
  worker.rack = FindRack(spec.rack);
  WorkerFreeResources& resources = free_resources_[index];
  resources.rack = worker.rack;
  resources.processors_reciprocal = Reciprocal(spec.capacity.processors_milli);
  resources.memory_reciprocal = Reciprocal(spec.capacity.memory_mb);
  resources.accelerators_reciprocal = Reciprocal(spec.capacity.accelerators);
  ++worker_set_version_;
  UpdateFreeResources(index);
  return index;
}

void WorkerPool::Remove(WorkerIndex worker) {
  Check(workers_.at(worker).tasks.empty(),
        "cannot remove a worker: tasks still hold resources on it");
  AdjustCapacityCount(workers_.at(worker).spec, -1);
  const WorkerId id = workers_.at(worker).spec.id;
  workers_.Remove(id);
  free_resource_index_.Remove(worker);
  free_resources_[worker] = WorkerFreeResources();
  free_resources_[worker].free = kUnavailable;
  ++worker_set_version_;
}

bool WorkerPool::AcceptsTasks(WorkerIndex worker) const {
  const Worker& known = workers_.at(worker);
  return known.spec.state == WorkerState::kLive && !known.quarantined;
}

void WorkerPool::Reserve(WorkerIndex worker, TaskIndex task,
                         const Resources& amount) {
  const Worker& known = workers_.at(worker);
  Check(Fits(known.reserved + amount, known.spec.capacity),
        "a reservation would exceed the capacity of the worker");
  ReserveUnchecked(worker, task, amount);
}

void WorkerPool::ReserveUnchecked(WorkerIndex worker, TaskIndex task,
                                  const Resources& amount) {
  Worker& known = workers_.at(worker);
  known.reserved += amount;
  known.tasks.push_back(task);
  UpdateFreeResources(worker);
}

void WorkerPool::Release(WorkerIndex worker, TaskIndex task,
                         const Resources& amount) {
  Worker& known = workers_.at(worker);
  const auto position = std::find(known.tasks.begin(), known.tasks.end(), task);
  Check(position != known.tasks.end(),
        "cannot release a task: it holds no resources on the worker");
  *position = known.tasks.back();
  known.tasks.pop_back();
  known.reserved -= amount;
  Check(Fits(Resources(), known.reserved),
        "a worker released more resources than were reserved on it");
  UpdateFreeResources(worker);
}

void WorkerPool::SetQuarantined(WorkerIndex worker, bool quarantined) {
  workers_.at(worker).quarantined = quarantined;
  ++worker_set_version_;
  UpdateFreeResources(worker);
}

void WorkerPool::SetReservationHold(WorkerIndex worker,
                                    const Resources& amount) {
  workers_.at(worker).reservation_hold = amount;
  UpdateFreeResources(worker);
}

void WorkerPool::SetPreemptionHold(WorkerIndex worker,
                                   const Resources& amount) {
  workers_.at(worker).preemption_hold = amount;
  UpdateFreeResources(worker);
}

bool WorkerPool::MayFitSince(std::uint64_t since,
                             const Resources& demand) const {
  if (free_resources_version_ - since >= kGrowthHistorySize) return true;
  for (std::uint64_t version = since + 1; version <= free_resources_version_;
       ++version) {
    const WorkerIndex worker = recently_grown_[version % kGrowthHistorySize];
    const Resources& hold = workers_.at(worker).reservation_hold;
    if (Fits(demand, free_resources_[worker].free + hold)) return true;
  }
  return false;
}

void WorkerPool::AdjustCapacityCount(const WorkerSpec& spec,
                                     std::int64_t change) {
  if (spec.state != WorkerState::kLive) return;
  const auto group =
      std::find_if(live_capacities_.begin(), live_capacities_.end(),
                   [&spec](const CapacityCount& each) {
                     return each.capacity == spec.capacity;
                   });
  if (group != live_capacities_.end()) {
    group->workers += change;
    return;
  }
  live_capacities_.push_back({spec.capacity, change});
}

RackIndex WorkerPool::FindRack(const std::string& name) {
  const auto next = static_cast<RackIndex>(racks_.size());
  return racks_.emplace(name, next).first->second;
}

void WorkerPool::UpdateFreeResources(WorkerIndex worker) {
  const Worker& known = workers_.at(worker);
  Resources& free = free_resources_[worker].free;
  const Resources before = free;
  free = AcceptsTasks(worker)
             ? known.spec.capacity - known.reserved - known.reservation_hold -
                   known.preemption_hold
             : kUnavailable;
  if (HasGrown(before, free))
    recently_grown_[++free_resources_version_ % kGrowthHistorySize] = worker;
  if (Fits(Resources(), free)) {
    free_resource_index_.Update(worker, free,
                                known.spec.capacity.accelerators > 0);
  } else {
    free_resource_index_.Remove(worker);
  }
}

}  // namespace chivewing
