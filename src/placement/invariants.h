#pragma once

namespace chivewing {

struct ZoneState;

// Recomputes all sums from the tasks and ends the process when one is wrong, a
// worker holds more than its capacity, a singleton runs twice, or a gang runs
// in part.
void CheckZoneInvariants(const ZoneState& state);

}  // namespace chivewing
