#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/worker_spec.h"

namespace chivewing {

class TaskEventHandler;
struct PlacerState;

// Handles changes of workers from the platform and the catalogue, and probe
// results. Changes the shared PlacerState and appends effects; no I/O.
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
