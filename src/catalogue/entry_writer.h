#pragma once

#include <string>

#include "catalogue/catalogue_entry.h"
#include "schema/field_writer.h"

namespace chivewing {

// The entry as JSON text with every key that applies to its class, defaults
// included, so that it reads the same when the program's defaults change.
std::string WriteEntry(const CatalogueEntry& entry, JsonLayout layout);

}  // namespace chivewing
