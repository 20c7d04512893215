#pragma once

#include <string>

#include "catalogue/catalogue_entry.h"
#include "schema/validation_error.h"

namespace chivewing {

// Adds an error for each violated rule between the values of an entry. The keys
// of errors start with `prefix`.
void CheckEntry(const CatalogueEntry& entry, const std::string& prefix,
                ValidationErrorCollector& errors);

}  // namespace chivewing
