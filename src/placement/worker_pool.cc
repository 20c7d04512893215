#include "placement/worker_pool.h"

#include <algorithm>

#include "placement/check.h"

namespace chivewing {
namespace {

constexpr Resources kClosed{-1, -1, -1};

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
    rooms_.resize(workers_.end_index());
    rooms_[index].free = kClosed;
    workers_.at(index).spec.state = WorkerState::kGone;
  }
  Worker& worker = workers_.at(index);
  CountCapacity(worker.spec, -1);
  CountCapacity(spec, 1);
  worker.spec = spec;
  worker.rack = FindRack(spec.rack);
  WorkerFreeResources& room = rooms_[index];
  room.rack = worker.rack;
  room.processors_share = Reciprocal(spec.capacity.processors_milli);
  room.memory_share = Reciprocal(spec.capacity.memory_mb);
  room.accelerators_share = Reciprocal(spec.capacity.accelerators);
  ++fleet_version_;
  UpdateRoom(index);
  return index;
}

void WorkerPool::Remove(WorkerIndex worker) {
  Check(workers_.at(worker).tasks.empty(),
        "a worker is removed while tasks hold room on it");
  CountCapacity(workers_.at(worker).spec, -1);
  const WorkerId id = workers_.at(worker).spec.id;
  workers_.Remove(id);
  index_.Remove(worker);
  rooms_[worker] = WorkerFreeResources();
  rooms_[worker].free = kClosed;
  ++fleet_version_;
}

bool WorkerPool::AcceptsTasks(WorkerIndex worker) const {
  const Worker& known = workers_.at(worker);
  return known.spec.state == WorkerState::kLive && !known.quarantined;
}

void WorkerPool::Reserve(WorkerIndex worker, TaskIndex task,
                         const Resources& amount) {
  const Worker& known = workers_.at(worker);
  Check(Fits(known.reserved + amount, known.spec.capacity),
        "a worker is given more than it holds");
  Occupy(worker, task, amount);
}

void WorkerPool::Occupy(WorkerIndex worker, TaskIndex task,
                        const Resources& amount) {
  Worker& known = workers_.at(worker);
  known.reserved += amount;
  known.tasks.push_back(task);
  UpdateRoom(worker);
}

void WorkerPool::Release(WorkerIndex worker, TaskIndex task,
                         const Resources& amount) {
  Worker& known = workers_.at(worker);
  const auto held = std::find(known.tasks.begin(), known.tasks.end(), task);
  Check(held != known.tasks.end(), "a task is released that held no room");
  *held = known.tasks.back();
  known.tasks.pop_back();
  known.reserved -= amount;
  Check(Fits(Resources(), known.reserved), "more is released than reserved");
  UpdateRoom(worker);
}

void WorkerPool::SetQuarantined(WorkerIndex worker, bool quarantined) {
  workers_.at(worker).quarantined = quarantined;
  ++fleet_version_;
  UpdateRoom(worker);
}

void WorkerPool::SetReservationHold(WorkerIndex worker,
                                    const Resources& amount) {
  workers_.at(worker).reservation_hold = amount;
  UpdateRoom(worker);
}

void WorkerPool::SetUrgentHold(WorkerIndex worker, const Resources& amount) {
  workers_.at(worker).urgent_hold = amount;
  UpdateRoom(worker);
}

bool WorkerPool::MayFitSince(std::uint64_t since,
                             const Resources& demand) const {
  if (growth_ - since >= kGrownKept) return true;
  for (std::uint64_t step = since + 1; step <= growth_; ++step) {
    const WorkerIndex worker = grown_[step % kGrownKept];
    const Resources& hold = workers_.at(worker).reservation_hold;
    if (Fits(demand, rooms_[worker].free + hold)) return true;
  }
  return false;
}

void WorkerPool::CountCapacity(const WorkerSpec& spec, std::int64_t change) {
  if (spec.state != WorkerState::kLive) return;
  const auto alike =
      std::find_if(live_capacities_.begin(), live_capacities_.end(),
                   [&spec](const CapacityCount& each) {
                     return each.capacity == spec.capacity;
                   });
  if (alike != live_capacities_.end()) {
    alike->workers += change;
    return;
  }
  live_capacities_.push_back({spec.capacity, change});
}

RackIndex WorkerPool::FindRack(const std::string& name) {
  const auto next = static_cast<RackIndex>(racks_.size());
  return racks_.emplace(name, next).first->second;
}

void WorkerPool::UpdateRoom(WorkerIndex worker) {
  const Worker& known = workers_.at(worker);
  Resources& free = rooms_[worker].free;
  const Resources before = free;
  free = AcceptsTasks(worker) ? known.spec.capacity - known.reserved -
                                    known.reservation_hold - known.urgent_hold
                              : kClosed;
  if (HasGrown(before, free)) grown_[++growth_ % kGrownKept] = worker;
  if (Fits(Resources(), free)) {
    index_.Update(worker, free, known.spec.capacity.accelerators > 0);
  } else {
    index_.Remove(worker);
  }
}

}  // namespace chivewing
