#pragma once

#include <string>

#include "catalogue/catalogue_entry.h"
#include "schema/field_writer.h"

namespace chivewing {

// Formats the entry as JSON text with every key that applies to its class. The
// keys with default values are written too, so that a stored entry keeps its
// meaning when a later version has other defaults.
std::string WriteEntry(const CatalogueEntry& entry, JsonLayout layout);

}  // namespace chivewing
