#include "schema/field_writer.h"

#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

// The member of `root` that the dotted name leads to; made if absent.
Json& Place(Json& root, std::string_view name) {
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
    Json& place = Place(root, field.name);
    std::visit([&place](const auto& value) { place = value; }, field.value);
  }
  return root.dump(layout == JsonLayout::kIndented ? kIndent : -1);
}

}  // namespace chivewing
