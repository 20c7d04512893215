#pragma once

#include <string>
#include <string_view>

#include "schema/json_node.h"
#include "schema/validation_error.h"

namespace chivewing {

// Parses one JSON document in UTF-8; comments (// and /* */) are allowed.
// Refuses syntax errors, duplicate keys and deep nesting. `file` is only named
// in faults.
ValidationResult<JsonNode> ParseJson(std::string_view text,
                                     const std::string& file);

}  // namespace chivewing
