#pragma once

namespace chivewing {

struct PlacerState;

// Recomputes all sums from the tasks and ends the process when one is wrong, a
// worker holds more than its capacity, a singleton runs twice, or a gang runs
// in part.
void CheckZoneInvariants(const PlacerState& state);

}  // namespace chivewing
