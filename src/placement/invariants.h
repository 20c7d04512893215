#pragma once

namespace chivewing {

struct PlacerState;

// Recomputes the sums of workers and owners from the tasks and checks the tasks
// of each job. Aborts the process when a sum is wrong, a singleton has two
// tasks, or a waiting gang still holds tasks.
void CheckZoneInvariants(const PlacerState& state);

}  // namespace chivewing
