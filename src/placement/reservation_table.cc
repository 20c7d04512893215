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
  Drop(reservation.job);
  reservations_.push_back(std::move(reservation));
  for (const auto& [worker, places] : reservations_.back().places) {
    UpdateHold(worker);
  }
}

void ReservationTable::Drop(JobIndex job) {
  for (std::size_t index = 0; index < reservations_.size(); ++index) {
    if (reservations_[index].job != job) continue;
    const Reservation dropped = std::move(reservations_[index]);
    reservations_.erase(reservations_.begin() +
                        static_cast<std::ptrdiff_t>(index));
    for (const auto& [worker, places] : dropped.places) UpdateHold(worker);
    return;
  }
}

void ReservationTable::ForgetWorker(WorkerIndex worker) {
  for (Reservation& each : reservations_) each.places.erase(worker);
}

void ReservationTable::UpdateHold(WorkerIndex worker) {
  if (!workers_.Has(worker)) return;
  Resources hold;
  for (const Reservation& each : reservations_) {
    const auto place = each.places.find(worker);
    if (place != each.places.end()) hold += each.per_task * place->second;
  }
  workers_.SetReservationHold(worker, hold);
}

}  // namespace chivewing
