#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"
#include "dispatch/worker_manager.h"

namespace chivewing {

// Chooses the worker on which each waiting task starts, and the workers about
// which to request advice. Starts and requests are returned as effects; does no
// I/O.
class StepScheduler {
 public:
  StepScheduler(DispatchState& state, RunManager& runs,
                const WorkerManager& worker_manager)
      : state_(state), runs_(runs), worker_manager_(worker_manager) {}

  // Starts all tasks that can start now, in the order of the ready steps.
  void ScheduleReadySteps(TimePoint now, DispatchEffects& out);

 private:
  struct StepPlacement;  // working data for one step

  bool PlaceStep(TimePoint now, const StepKey& key, DispatchEffects& out);
  std::size_t PlaceTasks(TimePoint now, StepPlacement& placement,
                         DispatchEffects& out);
  std::size_t PlaceGang(TimePoint now, StepPlacement& placement,
                        DispatchEffects& out);
  TrackedWorker* ChooseWorker(TimePoint now, const StepPlacement& placement,
                              const TrackedTask* task);
  bool MayRun(TimePoint now, const StepPlacement& placement,
              const TrackedWorker& worker) const;
  std::size_t CountFitting(const StepPlacement& placement,
                           const TrackedWorker& worker) const;
  bool RequestAdvice(TimePoint now, StepPlacement& placement,
                     std::size_t missing, DispatchEffects& out);

  DispatchState& state_;
  RunManager& runs_;
  const WorkerManager& worker_manager_;
};

}  // namespace chivewing
