#include "placement/reservation_table.h"

#include <utility>

#include "placement/worker_pool.h"

namespace chivewing {

const Reservation* ReservationTable::Find(JobIndex job) const {
  for (const Reservation& each : reservations_) {
    if (each.job == job) return &each;
  }
  return nullptr;
}

void ReservationTable::Add(Reservation reservation) {
  Remove(reservation.job);
  reservations_.push_back(std::move(reservation));
  for (const auto& [worker, tasks] : reservations_.back().tasks_by_worker) {
    UpdateHold(worker);
  }
}

void ReservationTable::Remove(JobIndex job) {
  for (std::size_t index = 0; index < reservations_.size(); ++index) {
    if (reservations_[index].job != job) continue;
    const Reservation removed = std::move(reservations_[index]);
    reservations_.erase(reservations_.begin() +
                        static_cast<std::ptrdiff_t>(index));
    for (const auto& [worker, tasks] : removed.tasks_by_worker)
      UpdateHold(worker);
    return;
  }
}

void ReservationTable::ForgetWorker(WorkerIndex worker) {
  for (Reservation& each : reservations_) each.tasks_by_worker.erase(worker);
}

void ReservationTable::UpdateHold(WorkerIndex worker) {
  if (!workers_.Has(worker)) return;
  Resources hold;
  for (const Reservation& each : reservations_) {
    const auto place = each.tasks_by_worker.find(worker);
    if (place != each.tasks_by_worker.end())
      hold += each.per_task * place->second;
  }
  workers_.SetReservationHold(worker, hold);
}

}  // namespace chivewing
