#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/worker_spec.h"

namespace chivewing {

class TaskEventHandler;
struct PlacerState;

// What the platform, the catalogue and probes say of workers.
class WorkerEventHandler {
 public:
  WorkerEventHandler(PlacerState& state, TaskEventHandler& tasks)
      : state_(state), tasks_(tasks) {}

  void Upsert(TimePoint now, const WorkerSpec& worker, Effects& effects);
  void Remove(TimePoint now, const WorkerId& worker, Effects& effects);
  void OnProbeCompleted(TimePoint now, const WorkerId& worker, bool succeeded,
                        Effects& effects);

 private:
  PlacerState& state_;
  TaskEventHandler& tasks_;
};

}  // namespace chivewing
