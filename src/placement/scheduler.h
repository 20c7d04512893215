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

// Decides which waiting tasks start, and where. Jobs are taken by priority; a
// job that cannot start blocks only the jobs that wait for the same.
class Scheduler {
 public:
  explicit Scheduler(PlacerState& state) : state_(state) {}

  std::optional<BatchId> Decide(TimePoint now, std::size_t max_starts,
                                Effects& effects);

 private:
  // What came of trying the first job of a lane.
  enum class Outcome {
    kPlaced,   // the lane may have more
    kNoFit,    // nothing in the lane fits until room grows
    kBlocked,  // nothing in the lane fits now for another reason
  };

  void RequeueJobsAfterBackoff(TimePoint now);
  void TickHealth(TimePoint now, Effects& effects);
  void PlaceWaitingJobs(Effects& effects);
  // Whether room has grown that the lane could use since it last found none.
  bool MayFit(const EquivalenceClassKey& key,
              EquivalenceClass& job_class) const;
  Outcome PlaceFirstJob(const EquivalenceClassKey& key,
                        EquivalenceClass& job_class, Effects& effects);
  Outcome PlaceTasks(JobIndex index, Effects& effects);
  Outcome PlaceGang(JobIndex index, Effects& effects);
  void StartGang(JobIndex index, Effects& effects);
  bool GangFits(JobIndex index) const;

  // Whether the job may be given a reservation, or a new plan for its own, now.
  bool CanReserve(JobIndex index) const;
  void Reserve(JobIndex index, Effects& effects);
  // Makes victims of an urgent job leave the room that is reserved for it.
  void PreemptForReservation(const Reservation& reservation, Effects& effects);
  WorkerIndex FindReservedWorker(JobIndex index) const;

  WorkerIndex FindWorker(JobIndex index, Effects& effects);
  WorkerIndex FindBackfillWorker(const Job& job) const;
  WorkerIndex FindWorkerForUrgentTask(JobIndex index, Effects& effects);
  int MaxInstancesPerRack(const Job& job) const;
  void StartTaskOn(JobIndex index, WorkerIndex worker, Effects& effects);
  void ReportIfUnplaceable(JobIndex index, Effects& effects);

  PlacerState& state_;
  // Of the decision in progress.
  TimePoint now_;
  std::size_t starts_left_ = 0;
  BatchId batch_ = 0;
  // When a reservation may be planned next.
  TimePoint next_plan_time_;
};

}  // namespace chivewing
