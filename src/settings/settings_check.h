#pragma once

#include <vector>

#include "schema/validation_error.h"
#include "settings/settings.h"

namespace chivewing {

// Adds an error for each violated rule between settings, such as a heartbeat
// interval that is not below the time-out of peers. Called after all fields are
// read; skips rules whose fields already have an error.
void CheckSettings(const Settings& settings, ValidationErrorCollector& errors);

// Removes this host from its list of peers. Adds an error if its zone or
// address in the list differs from its own settings.
void RemoveSelfFromPeers(Settings& settings, ValidationErrorCollector& errors);

}  // namespace chivewing
