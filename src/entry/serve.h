#pragma once

#include "settings/settings.h"

namespace chivewing {

// Runs the process of an entry host until SIGTERM or SIGINT, then stops it as
// planned. Gives the exit status: 0 after a planned stop, 2 when an address
// cannot be bound.
int RunServe(const Settings& settings);

}  // namespace chivewing
