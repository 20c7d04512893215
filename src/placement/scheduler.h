#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "placement/effect.h"
#include "placement/indices.h"
#include "placement/waiting_job_queue.h"
#include "placement/worker_choice.h"

namespace chivewing {

struct Job;
struct Reservation;
struct PlacerState;

// Decides which waiting tasks start and on which workers. Jobs are tried by
// rank; a job that cannot start blocks only the jobs of its equivalence class.
// Reads and changes the shared PlacerState and appends effects; no I/O.
class Scheduler {
 public:
  explicit Scheduler(PlacerState& state) : state_(state) {}

  std::optional<BatchId> Decide(TimePoint now, std::size_t max_starts,
                                Effects& effects);

 private:
  // Result of trying the first job of an equivalence class.
  enum class Outcome {
    kPlaced,   // the class may have further jobs to place
    kNoFit,    // no job of the class fits until free resources grow
    kBlocked,  // no job of the class can start now for another reason
  };

  void RequeueJobsAfterBackoff(TimePoint now);
  void TickHealth(TimePoint now, Effects& effects);
  void PlaceWaitingJobs(Effects& effects);
  // Whether the first job of the class may fit now, by what changed since the
  // last attempt that found no worker.
  bool MayFit(const EquivalenceClassKey& key,
              EquivalenceClass& job_class) const;
  Outcome PlaceFirstJob(const EquivalenceClassKey& key,
                        EquivalenceClass& job_class, Effects& effects);
  Outcome PlaceTasks(JobIndex index, Effects& effects);
  Outcome PlaceGang(JobIndex index, Effects& effects);
  void StartGang(JobIndex index, Effects& effects);
  bool GangFits(JobIndex index) const;

  // Whether the job may now get a reservation, or a new plan for the one it
  // has.
  bool CanReserve(JobIndex index) const;
  void Reserve(JobIndex index, Effects& effects);
  // Preempts tasks on the workers that are reserved for an urgent job.
  void PreemptForReservation(const Reservation& reservation, Effects& effects);
  WorkerIndex FindReservedWorker(JobIndex index) const;

  WorkerIndex FindWorker(JobIndex index, Effects& effects);
  WorkerIndex FindBackfillWorker(const Job& job) const;
  WorkerIndex FindWorkerForUrgentTask(JobIndex index, Effects& effects);
  int MaxInstancesPerRack(const Job& job) const;
  void StartTaskOn(JobIndex index, WorkerIndex worker, Effects& effects);
  void ReportIfUnplaceable(JobIndex index, Effects& effects);

  PlacerState& state_;
  // State of the decision in progress.
  TimePoint now_;
  std::size_t starts_left_ = 0;
  BatchId batch_ = 0;
  // Earliest time of the next reservation plan.
  TimePoint next_plan_time_;
};

}  // namespace chivewing
