#pragma once

#include <vector>

#include "placement/indices.h"
#include "placement/placer_options.h"
#include "placement/resources.h"
#include "placement/worker_pool.h"

namespace chivewing {

// What a worker must have for one task.
struct WorkerDemand {
  Resources resources;
  // Instances of the job in each rack and the most that one rack may have; null
  // when the job is not spread.
  const std::vector<int>* rack_instances = nullptr;
  int rack_limit = 0;
  // Workers on which the job failed lately: taken only if there is no other;
  // may be null.
  const std::vector<WorkerIndex>* avoided_workers = nullptr;
};

// The worker that suits the task best under the policy; kNoIndex when none has
// room.
WorkerIndex ChooseWorker(const WorkerPool& pool, const WorkerDemand& demand,
                         const PlacerOptions& options);

// How many tasks of this size fit on all open workers, counted up to `enough`.
std::int64_t CountFittingTasks(const WorkerPool& pool, const Resources& size,
                               std::int64_t limit);

}  // namespace chivewing
