#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "schema/json_node.h"

namespace chivewing {

// Reads the members of a JSON object by name and keeps the first error. A
// member that is absent or null yields the fallback; without a fallback it is
// an error, except for lists and objects. A member of another type is always an
// error. Callers check good() after the last member. The object must outlive
// the reader.
class JsonObjectReader {
 public:
  explicit JsonObjectReader(const JsonNode& object);

  std::string Text(std::string_view name);
  std::string Text(std::string_view name, std::string_view fallback);
  std::int64_t Integer(std::string_view name);
  std::int64_t Integer(std::string_view name, std::int64_t fallback);
  double Number(std::string_view name);
  double Number(std::string_view name, double fallback);
  bool Flag(std::string_view name, bool fallback);
  // The elements of a list; empty if the list is absent or of another type.
  const std::vector<JsonNode>& List(std::string_view name);
  // The member if it is an object, otherwise nullptr. Only a member of another
  // type is an error.
  const JsonNode* Object(std::string_view name);

  // Records an error that the caller found in a member, unless there is one.
  void Fail(std::string_view name, std::string_view what);

  bool good() const { return first_error_.empty(); }
  // The first error as "NAME: what is wrong"; empty if there is none.
  const std::string& problem() const { return first_error_; }

 private:
  const JsonNode* FindMember(std::string_view name, JsonKind kind,
                             bool required);

  const JsonNode& object_;
  std::string first_error_;
};

}  // namespace chivewing
