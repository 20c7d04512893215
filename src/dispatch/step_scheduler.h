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

// Decides which waiting task starts on which worker, and about which workers
// the advice service is asked.
class StepScheduler {
 public:
  StepScheduler(DispatchState& state, RunManager& runs,
                const WorkerManager& watch)
      : state_(state), runs_(runs), watch_(watch) {}

  // Starts what can be started, in the order of the ready steps.
  void PlaceReady(TimePoint now, DispatchEffects& out);

 private:
  struct Placing;  // the work on one step

  bool PlaceStep(TimePoint now, const StepKey& key, DispatchEffects& out);
  std::size_t PlaceTasks(TimePoint now, Placing& placing, DispatchEffects& out);
  std::size_t PlaceGang(TimePoint now, Placing& placing, DispatchEffects& out);
  TrackedWorker* ChooseWorker(TimePoint now, const Placing& placing,
                              const TrackedTask* task);
  bool MayRun(TimePoint now, const Placing& placing,
              const TrackedWorker& worker) const;
  std::size_t CountFitting(const Placing& placing,
                           const TrackedWorker& worker) const;
  bool Ask(TimePoint now, Placing& placing, std::size_t missing,
           DispatchEffects& out);

  DispatchState& state_;
  RunManager& runs_;
  const WorkerManager& watch_;
};

}  // namespace chivewing
