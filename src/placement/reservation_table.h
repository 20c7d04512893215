#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "placement/indices.h"
#include "placement/resources.h"

namespace chivewing {

class WorkerPool;

// Room kept for a job that has waited long.
struct Reservation {
  JobIndex job = kNoIndex;
  Resources per_task;
  TimePoint created_at;
  TimePoint planned_at;
  // When the room is expected to be free.
  TimePoint expected_start;
  // Tasks of the job by worker.
  std::map<WorkerIndex, std::int64_t> tasks_by_worker;
};

// The reservations of the zone, at most one a job, kept as holds on workers.
class ReservationTable {
 public:
  explicit ReservationTable(WorkerPool& workers) : workers_(workers) {}

  // Null when the job has none.
  const Reservation* Find(JobIndex job) const;
  // Replaces the reservation that the job has.
  void Add(Reservation reservation);
  void Remove(JobIndex job);

  // The worker is gone; its index may be used for another one.
  void ForgetWorker(WorkerIndex worker);
  const std::vector<Reservation>& all() const { return reservations_; }

 private:
  void UpdateHold(WorkerIndex worker);

  WorkerPool& workers_;
  std::vector<Reservation> reservations_;
};

}  // namespace chivewing
