#include "schema/field_writer.h"

#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

// The member of `root` at the dotted path `name`, added if it is absent.
Json& FindOrAddMember(Json& root, std::string_view name) {
  Json* node = &root;
  std::size_t dot = name.find('.');
  while (dot != std::string_view::npos) {
    node = &(*node)[std::string(name.substr(0, dot))];
    name.remove_prefix(dot + 1);
    dot = name.find('.');
  }
  return (*node)[std::string(name)];
}

}  // namespace

std::string WriteFields(std::span<const NamedValue> fields, JsonLayout layout) {
  Json root = Json::object();
  for (const NamedValue& field : fields) {
    Json& member = FindOrAddMember(root, field.name);
    std::visit([&member](const auto& value) { member = value; }, field.value);
  }
  return root.dump(layout == JsonLayout::kIndented ? kIndent : -1);
}

}  // namespace chivewing
