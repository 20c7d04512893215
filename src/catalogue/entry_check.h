#pragma once

#include <string>

#include "catalogue/catalogue_entry.h"
#include "schema/validation_error.h"

namespace chivewing {

// Adds a fault for each pair of values of an entry that do not go together.
void CheckEntry(const CatalogueEntry& entry, const std::string& prefix,
                ValidationErrorCollector& errors);

}  // namespace chivewing
