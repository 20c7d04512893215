#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/indices.h"
#include "placement/resources.h"

namespace chivewing {

struct Task;
struct PlacerState;

// Holds tasks to their declared size. A task above it is throttled; while a
// worker as a whole uses more than it has, tasks above their size are
// checkpointed or stopped, lowest priority and newest first.
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
