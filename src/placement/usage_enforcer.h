#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/indices.h"
#include "placement/resources.h"

namespace chivewing {

struct Task;
struct PlacerState;

// Enforces the declared size of tasks on usage reports. A task that uses more
// processors than declared is throttled. While a worker uses more than its
// capacity, tasks above their declared size are checkpointed or stopped, lowest
// priority first, then newest first. No I/O.
class UsageEnforcer {
 public:
  explicit UsageEnforcer(PlacerState& state) : state_(state) {}

  void OnUsageReport(TimePoint now, const TaskId& id, const Resources& used,
                     Effects& effects);

 private:
  bool ExceedsDeclaredSize(const Task& task) const;
  void Throttle(TaskIndex index, Effects& effects);
  void StopOverusingTasks(TimePoint now, WorkerIndex worker_index,
                          Effects& effects);

  PlacerState& state_;
};

}  // namespace chivewing
