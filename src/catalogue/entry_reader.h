#pragma once

#include <string>
#include <string_view>

#include "catalogue/catalogue_entry.h"
#include "schema/json_node.h"
#include "schema/validation_error.h"

namespace chivewing {

// Reads one entry from JSON text with comments. Gives the entry, or every fault
// that was found: syntax, unknown, duplicate and missing keys, keys that do not
// apply to the class, wrong types, values out of range, and values that do not
// go together. `file` is only named in faults.
ValidationResult<CatalogueEntry> ReadEntry(std::string_view text,
                                           const std::string& file);

// Reads one entry from a parsed object. Faults start with `prefix`.
CatalogueEntry ReadEntryNode(const JsonNode& object, const std::string& prefix,
                             ValidationErrorCollector& errors);

}  // namespace chivewing
