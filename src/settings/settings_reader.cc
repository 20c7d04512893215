#include "settings/settings_reader.h"

#include <cstddef>
#include <utility>

#include "schema/field_reader.h"
#include "schema/json_parser.h"
#include "schema/text_file.h"
#include "settings/settings_check.h"
#include "settings/settings_fields.h"

namespace chivewing {
namespace {

void ReadPeers(const JsonNode& root, Settings& settings,
               ValidationErrorCollector& errors) {
  const JsonNode* list = root.Find("peers");
  if (list == nullptr || list->kind != JsonKind::kList) return;
  for (std::size_t i = 0; i < list->items.size(); ++i) {
    const JsonNode& item = list->items[i];
    if (item.kind != JsonKind::kObject) continue;
    PeerSettings peer;
    const auto assign = [&peer](std::size_t index, const FieldValue& value) {
      PeerBindings()[index].set(peer, value);
    };
    ReadFields(PeerSpecs(), item, "peers[" + std::to_string(i) + "].", assign,
               errors);
    settings.peers.push_back(std::move(peer));
  }
}

}  // namespace

ValidationResult<Settings> ReadSettings(std::string_view text,
                                        const std::string& file) {
  const ValidationResult<JsonNode> root = ParseJson(text, file);
  if (!root) return root.error();
  ValidationErrorCollector errors(file);
  Settings settings;
  const auto assign = [&settings](std::size_t index, const FieldValue& value) {
    SettingsBindings()[index].set(settings, value);
  };
  ReadFields(SettingsSpecs(), root.value(), "", assign, errors);
  ReadPeers(root.value(), settings, errors);
  CheckSettings(settings, errors);
  RemoveSelfFromPeers(settings, errors);
  if (!errors.empty()) return errors.Take();
  return settings;
}

ValidationResult<Settings> ReadSettingsFile(const std::string& path) {
  const ValidationResult<std::string> text = ReadTextFile(path);
  if (!text) return text.error();
  return ReadSettings(text.value(), path);
}

}  // namespace chivewing
