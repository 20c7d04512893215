#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "schema/field.h"
#include "schema/json_node.h"
#include "schema/validation_error.h"

namespace chivewing {

// Called with the index of a spec and the value that the document gives it.
using FieldValueCallback = std::function<void(std::size_t, FieldValue)>;

// Reads the members of `object` against `specs`: unknown keys, wrong kinds,
// values out of range and missing required fields become faults, whose keys
// start with `prefix`. Object lists are only checked to be lists of objects.
void ReadFields(std::span<const FieldSpec> specs, const JsonNode& object,
                const std::string& prefix, const FieldValueCallback& assign,
                ValidationErrorCollector& errors);

// Whether the text is an IPv4 or bracketed IPv6 number, a colon and a port from
// 0 to 65535.
bool IsAddress(const std::string& text);

// Whether the text is a name: 1 to 64 letters, digits, '-', '_' or '.', the
// first a letter or digit.
bool IsName(const std::string& text);

// Whether the text is a time of day as "HH:MM".
bool IsTimeOfDay(const std::string& text);

}  // namespace chivewing
