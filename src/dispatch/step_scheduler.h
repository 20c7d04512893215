#pragma once

#include <chrono>
#include <cstddef>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"
#include "dispatch/step_placement.h"

namespace chivewing {

// Chooses the worker on which each waiting task starts, and the workers about
// which to request advice. Starts and requests are returned as effects; does no
// I/O.
class StepScheduler {
 public:
  StepScheduler(DispatchState& state, JobManager& jobs, RunManager& runs)
      : state_(state), jobs_(jobs), runs_(runs) {}

  // Starts all tasks that can start now, in the order of the ready steps, of
  // those steps for which something has changed.
  void ScheduleReadySteps(TimePoint now, DispatchEffects& out);

 private:
  void TryStep(TimePoint now, const ReadyStepKey& key, DispatchEffects& out);
  std::size_t PlaceTasks(TimePoint now, StepPlacement& placement,
                         DispatchEffects& out);
  // The worker on which a suspected task is started now; nullptr if there is
  // none, or while the start is not noted in the table.
  TrackedWorker* ChooseForSuspect(TimePoint now, StepPlacement& placement,
                                  TrackedTask& task);
  static bool IsGangSuspected(StepPlacement& placement);
  // True once the starts of all members are noted in the table.
  bool IsGangStartNoted(StepPlacement& placement);
  std::size_t PlaceGang(TimePoint now, StepPlacement& placement,
                        DispatchEffects& out);
  StepWait RequestAdvice(TimePoint now, const StepPlacement& placement,
                         std::size_t missing, DispatchEffects& out);

  DispatchState& state_;
  JobManager& jobs_;
  RunManager& runs_;
};

}  // namespace chivewing
