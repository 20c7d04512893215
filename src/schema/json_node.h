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

// One value of a JSON document and the line it stands on.
struct JsonNode {
  JsonKind kind = JsonKind::kNull;
  int line = 0;
  std::string key;  // name of an object's member, otherwise empty
  bool flag = false;
  std::int64_t integer = 0;
  double number = 0;  // also set for integers
  std::string text;
  std::vector<JsonNode> items;  // of a list or an object

  // The member of that name, or nullptr.
  const JsonNode* Find(std::string_view name) const;
};

// The kind in words, for messages: "a number", "a list".
std::string_view Name(JsonKind kind);

}  // namespace chivewing
