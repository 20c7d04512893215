#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivewing {

// What a field of a document may hold.
enum class FieldKind {
  kFlag,         // true or false
  kInteger,      // an integer
  kNumber,       // a number
  kText,         // a string of 1 to 200 characters
  kNote,         // a string of up to 2000 characters
  kName,         // letters, digits, '-', '_' and '.'
  kNameList,     // a list of names
  kChoice,       // one of the listed words
  kAddress,      // IP number and port
  kAddressList,  // a list of addresses
  kTimeOfDay,    // "HH:MM" in UTC, or ""
  kObjectList,   // a list of objects with fields of their own
};

// The value of a field: flags as bool, counts as int64, numbers as double,
// lists as vector, all others as string.
using FieldValue = std::variant<bool, std::int64_t, double, std::string,
                                std::vector<std::string>>;

// Declares one field: the reader, the writer and the docs all follow it.
struct FieldSpec {
  std::string_view name;  // dotted path
  FieldKind kind = FieldKind::kText;
  std::string_view unit;                      // "ms", "MB"; empty if none
  double least = 0;                           // of counts and numbers
  double most = 0;                            // of counts and numbers
  bool required = false;                      // has no default
  bool allows_empty = false;                  // of kName
  std::span<const std::string_view> choices;  // of kChoice
  std::string_view meaning;                   // one sentence for the docs
};

// The kind in words: "integer", "list of names".
std::string_view Name(FieldKind kind);

// The range in words: "1 to 100", "`a`, `b`", or empty.
std::string RangeText(const FieldSpec& spec);

// The value as JSON text.
std::string ValueText(const FieldValue& value);

// The docs' table of fields, one Markdown row a field. `defaults` holds one
// value for each spec.
std::string MarkdownTable(std::span<const FieldSpec> specs,
                          std::span<const FieldValue> defaults);

}  // namespace chivewing
