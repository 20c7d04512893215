#pragma once

#include "settings/settings.h"

namespace chivewing {

// Runs an entry host in this process until SIGTERM or SIGINT, then performs a
// planned stop. Blocks. Returns the exit status: 0 after a planned stop, 2 when
// the host cannot start, for example because an address is in use.
int RunServe(const Settings& settings);

}  // namespace chivewing
