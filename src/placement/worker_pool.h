#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "placement/free_resource_index.h"
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
  // Room kept for jobs that have waited long, and for urgent tasks whose
  // victims are stopping.
  Resources reservation_hold;
  Resources preemption_hold;
};

// Room and capacity of one worker, packed for the scan over all workers.
struct WorkerFreeResources {
  // Below zero in every dimension while the worker takes no tasks.
  Resources free;
  // Reciprocals of the capacity; 0 for a dimension without capacity.
  double processors_reciprocal = 0;
  double memory_reciprocal = 0;
  double accelerators_reciprocal = 0;
  RackIndex rack = 0;
};

// Number of workers that are alike.
struct CapacityCount {
  Resources capacity;
  std::int64_t workers = 0;
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
  bool AcceptsTasks(WorkerIndex worker) const;

  // Takes room for a task; ends the process if it does not fit.
  void Reserve(WorkerIndex worker, TaskIndex task, const Resources& amount);
  // Takes room for a task that runs already, also beyond the capacity.
  void ReserveUnchecked(WorkerIndex worker, TaskIndex task,
                        const Resources& amount);
  void Release(WorkerIndex worker, TaskIndex task, const Resources& amount);

  void SetQuarantined(WorkerIndex worker, bool quarantined);
  void SetReservationHold(WorkerIndex worker, const Resources& amount);
  void SetPreemptionHold(WorkerIndex worker, const Resources& amount);

  // Room of all workers, by index.
  const std::vector<WorkerFreeResources>& free_resources() const {
    return free_resources_;
  }
  // Workers by room; closed workers are not in it.
  const FreeResourceIndex& free_resource_index() const {
    return free_resource_index_;
  }
  // Rises when the room of any worker has grown.
  std::uint64_t free_resources_version() const {
    return free_resources_version_;
  }
  // Whether a worker whose room has grown since growth() was `since` could now
  // take `demand`, reservations left aside.
  bool MayFitSince(std::uint64_t since, const Resources& demand) const;
  // Number of live workers of each capacity, those in quarantine included.
  const std::vector<CapacityCount>& live_capacities() const {
    return live_capacities_;
  }
  // Rises when workers come, go, or change their state or capacity.
  std::uint64_t worker_set_version() const { return worker_set_version_; }
  std::size_t rack_count() const { return racks_.size(); }

 private:
  static constexpr std::uint64_t kGrowthHistorySize = 1024;

  void AdjustCapacityCount(const WorkerSpec& spec, std::int64_t change);
  RackIndex FindRack(const std::string& name);
  void UpdateFreeResources(WorkerIndex worker);

  SlotTable<WorkerId, Worker> workers_;
  std::vector<WorkerFreeResources> free_resources_;
  FreeResourceIndex free_resource_index_;
  std::unordered_map<std::string, RackIndex> racks_;
  // The workers whose room has grown lately, by growth().
  std::vector<WorkerIndex> recently_grown_ =
      std::vector<WorkerIndex>(kGrowthHistorySize);
  std::vector<CapacityCount> live_capacities_;
  std::uint64_t free_resources_version_ = 1;
  std::uint64_t worker_set_version_ = 1;
};

}  // namespace chivewing
