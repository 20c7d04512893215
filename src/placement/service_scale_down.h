#pragma once

#include "base/time.h"
#include "placement/effect.h"
#include "placement/indices.h"

namespace chivewing {

struct PlacerState;

// Stops instances of a service that are no longer needed: those that others
// have taken the place of, once enough others run, and the newest of those
// beyond the wanted number. Does nothing for other classes.
void ScaleDownService(PlacerState& state, TimePoint now, JobIndex job,
                      Effects& effects);

}  // namespace chivewing
