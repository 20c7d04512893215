#pragma once

#include <vector>

#include "placement/indices.h"
#include "placement/placer_options.h"
#include "placement/resources.h"
#include "placement/worker_pool.h"

namespace chivewing {

// Requirements of one task on its worker.
struct WorkerDemand {
  Resources resources;
  // Instances of the job by rack index, and the limit per rack; null when the
  // job is not spread.
  const std::vector<int>* rack_instances = nullptr;
  int rack_limit = 0;
  // Workers on which the job failed recently, chosen only if no other fits; may
  // be null.
  const std::vector<WorkerIndex>* avoided_workers = nullptr;
};

// Returns the worker with the best score under the policy; kNoIndex when the
// task fits on none.
WorkerIndex ChooseWorker(const WorkerPool& pool, const WorkerDemand& demand,
                         const PlacerOptions& options);

// How many tasks of this size fit on all workers that accept tasks, counted up
// to `limit`.
std::int64_t CountFittingTasks(const WorkerPool& pool, const Resources& size,
                               std::int64_t limit);

}  // namespace chivewing
