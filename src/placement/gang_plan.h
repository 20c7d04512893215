#pragma once

#include <optional>

#include "base/time.h"
#include "placement/indices.h"

namespace chivewing {

struct GangReservation;
struct ZoneState;

// Plans where and when a gang could start first, by the expected ends of the
// tasks that run now. Holds of an earlier plan must have been lifted. Nothing
// when even the end of all batch work would not make enough room.
std::optional<GangReservation> PlanGang(const ZoneState& state, TimePoint now,
                                        JobIndex gang);

}  // namespace chivewing
