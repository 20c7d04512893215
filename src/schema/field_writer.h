#pragma once

#include <span>
#include <string>

#include "schema/field.h"

namespace chivewing {

// A field's name and its value.
struct NamedValue {
  std::string_view name;  // dotted path
  FieldValue value;
};

enum class JsonLayout { kCompact, kIndented };

// JSON object text with the given fields; dotted names become nested objects.
std::string WriteFields(std::span<const NamedValue> fields, JsonLayout layout);

}  // namespace chivewing
