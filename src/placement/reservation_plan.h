#pragma once

#include <optional>

#include "base/time.h"
#include "placement/indices.h"
#include "placement/reservation_table.h"

namespace chivewing {

struct PlacerState;

// Finds the earliest time at which `tasks` tasks of a job could start together,
// and on which workers, from the expected ends of the current tasks. For an
// urgent job, preemptible tasks count as ending now. The job must hold no
// reservation. Returns nullopt when the expected ends do not free enough
// resources.
std::optional<Reservation> PlanReservation(const PlacerState& state,
                                           TimePoint now, JobIndex job,
                                           int tasks);

}  // namespace chivewing
