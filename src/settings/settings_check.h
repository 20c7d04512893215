#pragma once

#include <vector>

#include "schema/validation_error.h"
#include "settings/settings.h"

namespace chivewing {

// Adds a fault for each pair of values that do not go together.
void CheckSettings(const Settings& settings, ValidationErrorCollector& errors);

// Takes this host out of its list of peers; adds a fault when its listing
// differs from its own settings.
void RemoveSelfFromPeers(Settings& settings, ValidationErrorCollector& errors);

}  // namespace chivewing
