#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "placement/indices.h"
#include "placement/resources.h"

namespace chivewing {

class WorkerPool;

// Resources reserved for a job that could not be placed for some time.
struct Reservation {
  JobIndex job = kNoIndex;
  Resources per_task;
  TimePoint created_at;
  TimePoint planned_at;
  // When the reserved resources are expected to be free.
  TimePoint expected_start;
  // Number of tasks of the job on each worker.
  std::map<WorkerIndex, std::int64_t> tasks_by_worker;
};

// The reservations of the zone, at most one per job. Applies them to the
// WorkerPool as holds on free resources.
class ReservationTable {
 public:
  explicit ReservationTable(WorkerPool& workers) : workers_(workers) {}

  // Returns null when the job has no reservation.
  const Reservation* Find(JobIndex job) const;
  // Adds a reservation; replaces an existing one of the job.
  void Add(Reservation reservation);
  void Remove(JobIndex job);

  // Called when a worker is removed, because its index may be reused.
  void ForgetWorker(WorkerIndex worker);
  const std::vector<Reservation>& all() const { return reservations_; }

 private:
  void UpdateHold(WorkerIndex worker);

  WorkerPool& workers_;
  std::vector<Reservation> reservations_;
};

}  // namespace chivewing
