#pragma once

#include <string>
#include <string_view>

#include "schema/json_node.h"
#include "schema/validation_error.h"

namespace chivewing {

// Parses one JSON document in UTF-8; comments (// and /* */) are allowed. Fails
// on syntax errors, duplicate keys and more than 16 levels of nesting. `file`
// is only used as the file name in errors.
ValidationResult<JsonNode> ParseJson(std::string_view text,
                                     const std::string& file);

}  // namespace chivewing
