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

// Called for each valid field with the index of its spec and its value.
using FieldValueCallback = std::function<void(std::size_t, FieldValue)>;

// Reads the members of `object` according to `specs` and calls `assign` for
// each valid value. Adds an error for each unknown key, wrong kind, value out
// of range and missing required field; the keys of errors start with `prefix`.
// Lists of objects are only checked to be that and are not assigned.
void ReadFields(std::span<const FieldSpec> specs, const JsonNode& object,
                const std::string& prefix, const FieldValueCallback& assign,
                ValidationErrorCollector& errors);

// Whether the text is an IPv4 address or a bracketed IPv6 address, followed by
// a colon and a port from 0 to 65535. Host names are not accepted.
bool IsAddress(const std::string& text);

// Whether the text is a name: 1 to 64 letters, digits, '-', '_' or '.', the
// first a letter or digit.
bool IsName(const std::string& text);

// Whether the text is a time of day from "00:00" to "23:59".
bool IsTimeOfDay(const std::string& text);

}  // namespace chivewing
