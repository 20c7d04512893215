#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "schema/json_node.h"

namespace chivewing {

// Reads the members of a JSON object one by one and remembers the first one
// that is missing or of another type. A member that is absent or null is given
// its fallback; one of another type is a fault in either case.
class JsonObjectReader {
 public:
  explicit JsonObjectReader(const JsonNode& object);

  std::string Text(std::string_view name);
  std::string Text(std::string_view name, std::string_view fallback);
  std::int64_t Integer(std::string_view name);
  std::int64_t Integer(std::string_view name, std::int64_t fallback);
  double Number(std::string_view name, double fallback);
  bool Flag(std::string_view name, bool fallback);
  // The elements of a list; empty when it is absent.
  const std::vector<JsonNode>& List(std::string_view name);
  // The member if it is an object, otherwise nullptr.
  const JsonNode* Object(std::string_view name);

  // Notes a fault that the caller found in a member.
  void Fail(std::string_view name, std::string_view what);

  bool good() const { return first_error_.empty(); }
  // The first fault in words; empty when there is none.
  const std::string& problem() const { return first_error_; }

 private:
  const JsonNode* FindMember(std::string_view name, JsonKind kind,
                             bool required);

  const JsonNode& object_;
  std::string first_error_;
};

}  // namespace chivewing
