#pragma once

#include "base/time.h"
#include "placement/effect.h"
#include "placement/indices.h"

namespace chivewing {

struct PlacerState;

// Stops instances of a service that are no longer needed: replaced instances
// once enough others run, and the newest instances beyond the desired number.
// Does nothing for other job classes.
void ScaleDownService(PlacerState& state, TimePoint now, JobIndex job,
                      Effects& effects);

}  // namespace chivewing
