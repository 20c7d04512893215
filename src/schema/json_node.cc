#include "schema/json_node.h"

namespace chivewing {

const JsonNode* JsonNode::Find(std::string_view name) const {
  for (const JsonNode& item : items) {
    if (item.key == name) return &item;
  }
  return nullptr;
}

std::string_view Name(JsonKind kind) {
  switch (kind) {
    case JsonKind::kNull:
      return "null";
    case JsonKind::kFlag:
      return "true or false";
    case JsonKind::kInteger:
      return "an integer";
    case JsonKind::kNumber:
      return "a number";
    case JsonKind::kText:
      return "a string";
    case JsonKind::kList:
      return "a list";
    case JsonKind::kObject:
      return "an object";
  }
  return "unknown";
}

}  // namespace chivewing
