#pragma once

#include <span>
#include <string>

#include "schema/field.h"

namespace chivewing {

// A field to be written.
struct NamedValue {
  std::string_view name;  // dotted path
  FieldValue value;
};

enum class JsonLayout { kCompact, kIndented };

// Formats the fields as the text of a JSON object, in the given order. Dotted
// names become nested objects.
std::string WriteFields(std::span<const NamedValue> fields, JsonLayout layout);

}  // namespace chivewing
