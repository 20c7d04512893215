#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_keeper.h"
#include "dispatch/worker_watch.h"

namespace chivewing {

// Decides which waiting task starts on which worker, and about which workers
// the advice service is asked.
class StepPlacer {
 public:
  StepPlacer(DispatchState& state, RunKeeper& runs, const WorkerWatch& watch)
      : state_(state), runs_(runs), watch_(watch) {}

  // Starts what can be started, in the order of the ready steps.
  void PlaceReady(TimePoint now, DispatchEffects& out);

 private:
  struct Placing;  // the work on one step

  bool PlaceStep(TimePoint now, const StepKey& key, DispatchEffects& out);
  std::size_t PlaceTasks(TimePoint now, Placing& placing, DispatchEffects& out);
  std::size_t PlaceGang(TimePoint now, Placing& placing, DispatchEffects& out);
  Worker* ChooseWorker(TimePoint now, const Placing& placing,
                       const TaskState* task);
  bool MayRun(TimePoint now, const Placing& placing,
              const Worker& worker) const;
  std::size_t CountFitting(const Placing& placing, const Worker& worker) const;
  bool Ask(TimePoint now, Placing& placing, std::size_t missing,
           DispatchEffects& out);

  DispatchState& state_;
  RunKeeper& runs_;
  const WorkerWatch& watch_;
};

}  // namespace chivewing
