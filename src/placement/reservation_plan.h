#pragma once

#include <optional>

#include "base/time.h"
#include "placement/indices.h"
#include "placement/reservation_table.h"

namespace chivewing {

struct PlacerState;

// Plans where and when `tasks` tasks of a job could start at once first, by the
// expected ends of the tasks that run now; for an urgent job, victims of a
// preemption end at once. The job itself must hold no reservation. Nothing when
// even the end of all batch work would not make enough room.
std::optional<Reservation> PlanReservation(const PlacerState& state,
                                           TimePoint now, JobIndex job,
                                           int tasks);

}  // namespace chivewing
