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

// One worker and the resources reserved on it.
struct Worker {
  WorkerSpec spec;
  RackIndex rack = 0;
  bool quarantined = false;
  // Tasks that hold resources.
  std::vector<TaskIndex> tasks;
  Resources reserved;
  // Resources held for jobs with a reservation, and for urgent tasks that wait
  // for preempted tasks to stop.
  Resources reservation_hold;
  Resources preemption_hold;
};

// Free resources and capacity of one worker, packed for the scan over all
// workers.
struct WorkerFreeResources {
  // Negative in every dimension while the worker accepts no tasks.
  Resources free;
  // Reciprocals of the capacity; 0 for a dimension without capacity.
  double processors_reciprocal = 0;
  double memory_reciprocal = 0;
  double accelerators_reciprocal = 0;
  RackIndex rack = 0;
};

// Number of workers with the same capacity.
struct CapacityCount {
  Resources capacity;
  std::int64_t workers = 0;
};

// The workers of the zone, with the resources reserved, held and free on each.
// No I/O.
class WorkerPool {
 public:
  // Adds or changes a worker.
  WorkerIndex Upsert(const WorkerSpec& spec);
  // Removes a worker; all its tasks must have been released.
  void Remove(WorkerIndex worker);

  WorkerIndex Find(const WorkerId& id) const { return workers_.Find(id); }
  bool Has(WorkerIndex worker) const { return workers_.Has(worker); }
  const Worker& at(WorkerIndex worker) const { return workers_.at(worker); }
  std::size_t size() const { return workers_.size(); }
  WorkerIndex end_index() const { return workers_.end_index(); }
  // True when the worker is live and not quarantined.
  bool AcceptsTasks(WorkerIndex worker) const;

  // Reserves resources for a task; aborts the process if they exceed the
  // capacity.
  void Reserve(WorkerIndex worker, TaskIndex task, const Resources& amount);
  // Reserves resources for a task that may already run, even beyond the
  // capacity.
  void ReserveUnchecked(WorkerIndex worker, TaskIndex task,
                        const Resources& amount);
  void Release(WorkerIndex worker, TaskIndex task, const Resources& amount);

  void SetQuarantined(WorkerIndex worker, bool quarantined);
  void SetReservationHold(WorkerIndex worker, const Resources& amount);
  void SetPreemptionHold(WorkerIndex worker, const Resources& amount);

  // Free resources of all workers, by worker index.
  const std::vector<WorkerFreeResources>& free_resources() const {
    return free_resources_;
  }
  // Contains only workers that accept tasks.
  const FreeResourceIndex& free_resource_index() const {
    return free_resource_index_;
  }
  // Rises when the free resources of any worker grow.
  std::uint64_t free_resources_version() const {
    return free_resources_version_;
  }
  // Whether `demand` may fit, reservations ignored, on a worker whose free
  // resources grew after free_resources_version() was `since`. Also true when
  // that is too long ago to be in the history.
  bool MayFitSince(std::uint64_t since, const Resources& demand) const;
  // Number of live workers of each capacity, including quarantined ones.
  const std::vector<CapacityCount>& live_capacities() const {
    return live_capacities_;
  }
  // Rises when workers are added, removed, changed, quarantined or readmitted.
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
  // Ring buffer of the workers whose free resources grew, by version.
  std::vector<WorkerIndex> recently_grown_ =
      std::vector<WorkerIndex>(kGrowthHistorySize);
  std::vector<CapacityCount> live_capacities_;
  std::uint64_t free_resources_version_ = 1;
  std::uint64_t worker_set_version_ = 1;
};

}  // namespace chivewing
