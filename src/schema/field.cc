#include "schema/field.h"

#include <cstddef>
#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

std::string NumberText(double value) { return nlohmann::json(value).dump(); }

// Formats whole numbers without the ".0" that JSON prints for doubles.
std::string BoundText(double value) {
  const auto whole = static_cast<std::int64_t>(value);
  if (static_cast<double>(whole) == value) return std::to_string(whole);
  return NumberText(value);
}

std::string ChoicesText(std::span<const std::string_view> choices) {
  std::string text;
  for (const std::string_view choice : choices) {
    if (!text.empty()) text += ", ";
    text += "`" + std::string(choice) + "`";
  }
  return text;
}

std::string DefaultText(const FieldSpec& spec, const FieldValue& value) {
  if (spec.required) return "required";
  if (spec.kind == FieldKind::kObjectList) return "`[]`";
  return "`" + ValueText(value) + "`";
}

}  // namespace

std::string_view Name(FieldKind kind) {
  switch (kind) {
    case FieldKind::kFlag:
      return "flag";
    case FieldKind::kInteger:
      return "integer";
    case FieldKind::kNumber:
      return "number";
    case FieldKind::kText:
    case FieldKind::kNote:
      return "string";
    case FieldKind::kName:
      return "name";
    case FieldKind::kNameList:
      return "list of names";
    case FieldKind::kChoice:
      return "choice";
    case FieldKind::kAddress:
      return "address";
    case FieldKind::kAddressList:
      return "list of addresses";
    case FieldKind::kTimeOfDay:
      return "time of day";
    case FieldKind::kObjectList:
      return "list of objects";
  }
  return "unknown";
}

std::string RangeText(const FieldSpec& spec) {
  if (spec.kind == FieldKind::kChoice) return ChoicesText(spec.choices);
  if (spec.kind != FieldKind::kInteger && spec.kind != FieldKind::kNumber) {
    return "";
  }
  return BoundText(spec.least) + " to " + BoundText(spec.most);
}

std::string ValueText(const FieldValue& value) {
  return std::visit(
      [](const auto& each) { return nlohmann::json(each).dump(); }, value);
}

std::string MarkdownTable(std::span<const FieldSpec> specs,
                          std::span<const FieldValue> defaults) {
  std::string table =
      "| key | type | unit | range | default | meaning |\n"
      "| --- | --- | --- | --- | --- | --- |\n";
  for (std::size_t i = 0; i < specs.size(); ++i) {
    const FieldSpec& spec = specs[i];
    table += "| `" + std::string(spec.name) + "` | ";
    table += std::string(Name(spec.kind)) + " | ";
    table += std::string(spec.unit) + " | " + RangeText(spec) + " | ";
    table += DefaultText(spec, defaults[i]) + " | ";
    table += std::string(spec.meaning) + " |\n";
  }
  return table;
}

}  // namespace chivewing
