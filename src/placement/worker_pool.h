#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "placement/indices.h"
#include "placement/resources.h"
#include "placement/slot_table.h"
#include "placement/worker_spec.h"

namespace chivewing {

// One worker with what is reserved on it.
struct Worker {
  WorkerSpec spec;
  RackIndex rack = 0;
  bool quarantined = false;
  // Tasks that hold resources.
  std::vector<TaskIndex> tasks;
  Resources reserved;
  // Room kept for a waiting gang, and for urgent tasks whose victims are
  // stopping.
  Resources gang_hold;
  Resources urgent_hold;
};

// Room and capacity of one worker, packed for the scan over all workers.
struct WorkerRoom {
  // Below zero in every dimension while the worker takes no tasks.
  Resources free;
  // Reciprocals of the capacity; 0 for a dimension without capacity.
  double processors_share = 0;
  double memory_share = 0;
  double accelerators_share = 0;
  RackIndex rack = 0;
};

// The workers of the zone and the sums of what is reserved on each.
class WorkerPool {
 public:
  // Adds or changes a worker.
  WorkerIndex Upsert(const WorkerSpec& spec);
  // Forgets a worker whose tasks were all released.
  void Remove(WorkerIndex worker);

  WorkerIndex Find(const WorkerId& id) const { return workers_.Find(id); }
  bool Has(WorkerIndex worker) const { return workers_.Has(worker); }
  const Worker& at(WorkerIndex worker) const { return workers_.at(worker); }
  std::size_t size() const { return workers_.size(); }
  WorkerIndex end_index() const { return workers_.end_index(); }
  // Whether it takes new tasks.
  bool IsOpen(WorkerIndex worker) const;

  // Takes room for a task; ends the process if it does not fit.
  void Reserve(WorkerIndex worker, TaskIndex task, const Resources& amount);
  // Takes room for a task that runs already, also beyond the capacity.
  void Occupy(WorkerIndex worker, TaskIndex task, const Resources& amount);
  void Release(WorkerIndex worker, TaskIndex task, const Resources& amount);

  void SetQuarantined(WorkerIndex worker, bool quarantined);
  void SetGangHold(WorkerIndex worker, const Resources& amount);
  void SetUrgentHold(WorkerIndex worker, const Resources& amount);

  // Room of all workers, by index.
  const std::vector<WorkerRoom>& rooms() const { return rooms_; }
  // Rises when the room of any worker has grown.
  std::uint64_t growth() const { return growth_; }
  // Rises when workers come, go, or change their state or capacity.
  std::uint64_t fleet_version() const { return fleet_version_; }
  std::size_t rack_count() const { return racks_.size(); }

 private:
  RackIndex FindRack(const std::string& name);
  void UpdateRoom(WorkerIndex worker);

  SlotTable<WorkerId, Worker> workers_;
  std::vector<WorkerRoom> rooms_;
  std::unordered_map<std::string, RackIndex> racks_;
  std::uint64_t growth_ = 1;
  std::uint64_t fleet_version_ = 1;
};

}  // namespace chivewing
