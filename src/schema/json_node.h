#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivewing {

enum class JsonKind {
  kNull,
  kFlag,
  kInteger,
  kNumber,
  kText,
  kList,
  kObject,
};

// One value of a JSON document, with its line so that errors can point to it.
// Only the members that belong to `kind` are set.
struct JsonNode {
  JsonKind kind = JsonKind::kNull;
  int line = 0;
  std::string key;  // member name within an object, otherwise empty
  bool flag = false;
  std::int64_t integer = 0;
  double number = 0;  // set for kNumber and kInteger
  std::string text;
  std::vector<JsonNode> items;  // elements of a list, members of an object

  // The first member of that name, or nullptr.
  const JsonNode* Find(std::string_view name) const;
};

// The kind as used in error messages: "a number", "a list".
std::string_view Name(JsonKind kind);

}  // namespace chivewing
