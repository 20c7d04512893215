#pragma once

#include <string>
#include <string_view>

#include "schema/fault.h"
#include "schema/json_node.h"

namespace chivewing {

// Parses one JSON document in UTF-8; comments (// and /* */) are allowed.
// Refuses syntax errors, duplicate keys and deep nesting. `file` is only named
// in faults.
Checked<JsonNode> ParseJson(std::string_view text, const std::string& file);

}  // namespace chivewing
