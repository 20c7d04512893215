#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivewing {

// The type of a field in a JSON document, with the rules for its values.
enum class FieldKind {
  kFlag,         // true or false
  kInteger,      // an integer
  kNumber,       // a number
  kText,         // a string of 1 to 200 bytes
  kNote,         // a string of up to 2000 bytes
  kName,         // 1 to 64 letters, digits, '-', '_' and '.'
  kNameList,     // a list of names
  kChoice,       // one of the listed words
  kAddress,      // IP number and port
  kAddressList,  // a list of addresses
  kTimeOfDay,    // "HH:MM" in UTC, or ""
  kObjectList,   // a list of objects with fields of their own
};

// The value of a field: kFlag as bool, kInteger as int64, kNumber as double,
// kNameList and kAddressList as vector, all other kinds as string.
using FieldValue = std::variant<bool, std::int64_t, double, std::string,
                                std::vector<std::string>>;

// Declares one field of a document. The reader, the writer and the tables of
// the documentation are all derived from it.
struct FieldSpec {
  std::string_view name;  // dotted path
  FieldKind kind = FieldKind::kText;
  std::string_view unit;      // "ms", "MB"; empty if none
  double least = 0;           // inclusive minimum of kInteger and kNumber
  double most = 0;            // inclusive maximum of kInteger and kNumber
  bool required = false;      // true if the field has no default
  bool allows_empty = false;  // true if a kName may be the empty string
  std::span<const std::string_view> choices;  // allowed words of kChoice
  std::string_view meaning;  // description shown in the documentation
};

// The name of the kind in messages and documentation: "integer", "list of
// names".
std::string_view Name(FieldKind kind);

// The allowed values as text: "1 to 100" for numeric kinds, "`a`, `b`" for
// kChoice, empty for all other kinds.
std::string RangeText(const FieldSpec& spec);

// The value as JSON text.
std::string ValueText(const FieldValue& value);

// The documentation's table of fields in Markdown, one row for each field.
// `defaults` must hold one value for each spec, in the same order.
std::string MarkdownTable(std::span<const FieldSpec> specs,
                          std::span<const FieldValue> defaults);

}  // namespace chivewing
