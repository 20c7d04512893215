#include "catalogue/catalogue_record.h"

#include <nlohmann/json.hpp>

#include "catalogue/entry_reader.h"
#include "catalogue/entry_writer.h"
#include "schema/json_parser.h"

namespace chivewing {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view kCataloguePrefix = "catalogue/";
constexpr std::string_view kHistoryPrefix = "history/";
constexpr std::size_t kSerialDigits = 8;

Json EntryJson(const CatalogueRecord& record) {
  if (!record.entry) return nullptr;
  return Json::parse(WriteEntry(*record.entry, JsonLayout::kCompact));
}

void AddChange(const CatalogueRecord& record, Json& json) {
  json["serial"] = record.serial;
  json["changed_by"] = record.changed_by;
  json["changed_at_ms"] = record.changed_at.count();
  json["entry"] = EntryJson(record);
}

const JsonNode* FindKind(const JsonNode& object, std::string_view name,
                         JsonKind kind) {
  const JsonNode* node = object.Find(name);
  return node != nullptr && node->kind == kind ? node : nullptr;
}

void ReadChange(const JsonNode& root, CatalogueRecord& record,
                ValidationErrorCollector& errors) {
  const JsonNode* serial = FindKind(root, "serial", JsonKind::kInteger);
  const JsonNode* by = FindKind(root, "changed_by", JsonKind::kText);
  const JsonNode* at = FindKind(root, "changed_at_ms", JsonKind::kInteger);
  if (serial == nullptr || by == nullptr || at == nullptr) {
    errors.Add(root.line, "", "lacks serial, changed_by or changed_at_ms");
    return;
  }
  record.serial = serial->integer;
  record.changed_by = by->text;
  record.changed_at = std::chrono::milliseconds(at->integer);
}

void ReadRecordEntry(const JsonNode& root, CatalogueRecord& record,
                     ValidationErrorCollector& errors) {
  const JsonNode* node = root.Find("entry");
  if (node == nullptr) return errors.Add(root.line, "entry", "is missing");
  if (node->kind == JsonKind::kNull) return;
  record.entry = ReadEntryNode(*node, "entry.", errors);
  if (record.entry->name == record.name) return;
  errors.Add(node->line, "entry.name",
             "is not the name of the row: " + record.name.value());
}

}  // namespace

std::string CatalogueKey(const EntryName& name) {
  return std::string(kCataloguePrefix) + name.value();
}

std::string HistoryKey(const EntryName& name, std::int64_t serial) {
  std::string digits = std::to_string(serial);
  if (digits.size() < kSerialDigits) {
    digits.insert(0, kSerialDigits - digits.size(), '0');
  }
  return std::string(kHistoryPrefix) + name.value() + "/" + digits;
}

std::optional<EntryName> ParseCatalogueKey(std::string_view key) {
  if (!key.starts_with(kCataloguePrefix)) return std::nullopt;
  key.remove_prefix(kCataloguePrefix.size());
  return EntryName(std::string(key));
}

Result<CatalogueRecord> DecodeCatalogueRecord(const EntryName& name,
                                              std::string_view value,
                                              std::uint64_t version) {
  const std::string file = CatalogueKey(name);
  const ValidationResult<JsonNode> root = ParseJson(value, file);
  if (!root) return JoinErrors(ResultCode::kBadEntry, root.error());
  ValidationErrorCollector errors(file);
  CatalogueRecord record;
  record.name = name;
  record.version = version;
  ReadChange(root.value(), record, errors);
  ReadRecordEntry(root.value(), record, errors);
  if (!errors.empty()) return JoinErrors(ResultCode::kBadEntry, errors.Take());
  return record;
}

CatalogueRecord DecodeRecordForOperator(const JsonNode& object,
                                        ValidationErrorCollector& errors) {
  CatalogueRecord record;
  const JsonNode* name = FindKind(object, "name", JsonKind::kText);
  const JsonNode* version = FindKind(object, "version", JsonKind::kInteger);
  if (name == nullptr || version == nullptr) {
    errors.Add(object.line, "", "lacks name or version");
    return record;
  }
  record.name = EntryName(name->text);
  record.version = static_cast<std::uint64_t>(version->integer);
  ReadChange(object, record, errors);
  ReadRecordEntry(object, record, errors);
  return record;
}

std::string EncodeCatalogueRecord(const CatalogueRecord& record) {
  Json json = Json::object();
  AddChange(record, json);
  return json.dump();
}

std::string EncodeRecordForOperator(const CatalogueRecord& record) {
  Json json = Json::object();
  json["name"] = record.name.value();
  json["version"] = record.version;
  AddChange(record, json);
  return json.dump();
}

}  // namespace chivewing
