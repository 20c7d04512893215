#pragma once

#include <string>
#include <string_view>

#include "catalogue/catalogue_entry.h"
#include "schema/json_node.h"
#include "schema/validation_error.h"

namespace chivewing {

// Reads and validates one entry from JSON text with comments. Returns the
// entry, or all errors found: syntax errors, unknown, duplicate and missing
// keys, keys that do not apply to the class, wrong types, values out of range
// and violated rules between values. `file` is only used as the file name in
// errors.
ValidationResult<CatalogueEntry> ReadEntry(std::string_view text,
                                           const std::string& file);

// Reads and validates one entry from a parsed object. Adds its errors to the
// collector, with keys that start with `prefix`, and then returns what could be
// read.
CatalogueEntry ReadEntryNode(const JsonNode& object, const std::string& prefix,
                             ValidationErrorCollector& errors);

}  // namespace chivewing
