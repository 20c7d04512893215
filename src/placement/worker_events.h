#pragma once

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/worker_spec.h"

namespace chivewing {

class TaskEvents;
struct ZoneState;

// What the platform, the catalogue and probes say of workers.
class WorkerEvents {
 public:
  WorkerEvents(ZoneState& state, TaskEvents& tasks)
      : state_(state), tasks_(tasks) {}

  void Upsert(TimePoint now, const WorkerSpec& worker, Effects& effects);
  void Remove(TimePoint now, const WorkerId& worker, Effects& effects);
  void ProbeEnded(TimePoint now, const WorkerId& worker, bool good,
                  Effects& effects);

 private:
  ZoneState& state_;
  TaskEvents& tasks_;
};

}  // namespace chivewing
