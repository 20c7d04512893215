#include "catalogue/catalogue_messages.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "catalogue/entry_reader.h"
#include "catalogue/entry_writer.h"
#include "schema/json_parser.h"

namespace chivewing {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;
constexpr std::size_t kMaxChangedByLength = 200;

Json EntryJson(const std::optional<CatalogueEntry>& entry) {
  if (!entry) return nullptr;
  return Json::parse(WriteEntry(*entry, JsonLayout::kCompact));
}

Json EditJson(const CatalogueEdit& edit) {
  Json json = Json::object();
  json["version"] = edit.version;
  json["changed_by"] = edit.changed_by;
  json["entry"] = EntryJson(edit.entry);
  return json;
}

std::optional<std::uint64_t> ReadVersion(const JsonNode& object,
                                         const std::string& prefix,
                                         ValidationErrorCollector& errors) {
  const JsonNode* node = object.Find("version");
  if (node == nullptr) return std::nullopt;
  if (node->kind == JsonKind::kInteger && node->integer >= 0) {
    return static_cast<std::uint64_t>(node->integer);
  }
  errors.Add(node->line, prefix + "version",
             "must be an integer of at least 0");
  return std::nullopt;
}

void ReadEditMetadata(const JsonNode& root, CatalogueEdit& edit,
                      ValidationErrorCollector& errors) {
  const std::optional<std::uint64_t> version = ReadVersion(root, "", errors);
  if (root.Find("version") == nullptr) {
    errors.Add(root.line, "version", "is missing");
  }
  edit.version = version.value_or(0);
  const JsonNode* by = root.Find("changed_by");
  if (by == nullptr || by->kind != JsonKind::kText || by->text.empty() ||
      by->text.size() > kMaxChangedByLength) {
    errors.Add(root.line, "changed_by", "must be 1 to 200 characters");
    return;
  }
  edit.changed_by = by->text;
}

void RejectUnknownKeys(const JsonNode& root, ValidationErrorCollector& errors) {
  const std::set<std::string> known = {"version", "changed_by", "entry"};
  for (const JsonNode& member : root.items) {
    if (known.contains(member.key)) continue;
    errors.Add(member.line, member.key, "unknown key");
  }
}

CatalogueEdit ReadEditNode(const EntryName& name, const JsonNode& root,
                           ValidationErrorCollector& errors) {
  CatalogueEdit edit;
  edit.name = name;
  RejectUnknownKeys(root, errors);
  ReadEditMetadata(root, edit, errors);
  const JsonNode* entry = root.Find("entry");
  if (entry == nullptr) {
    errors.Add(root.line, "entry", "is missing");
    return edit;
  }
  if (entry->kind == JsonKind::kNull) return edit;
  edit.entry = ReadEntryNode(*entry, "entry.", errors);
  if (edit.entry->name != name) {
    errors.Add(entry->line, "entry.name", "is not " + name.value());
  }
  return edit;
}

EntryDraft ReadDraft(JsonNode object, const std::string& prefix,
                     ValidationErrorCollector& errors) {
  EntryDraft draft;
  draft.version = ReadVersion(object, prefix, errors);
  std::erase_if(object.items,
                [](const JsonNode& item) { return item.key == "version"; });
  draft.entry = ReadEntryNode(object, prefix, errors);
  return draft;
}

void RejectDuplicateNames(const std::vector<EntryDraft>& drafts,
                          ValidationErrorCollector& errors) {
  std::set<EntryName> names;
  for (const EntryDraft& draft : drafts) {
    const EntryName& name = draft.entry.name;
    if (name.empty() || names.insert(name).second) continue;
    errors.Add(0, "name", name.value() + " is given by two entries");
  }
}

}  // namespace

std::string EncodeListing(const CatalogueListing& listing) {
  std::string text = R"({"age_ms":)" + std::to_string(listing.age.count());
  text += R"(,"entries":[)";
  bool first = true;
  for (const CatalogueRecord& record : listing.records) {
    if (!first) text += ",";
    first = false;
    text += EncodeRecordForOperator(record);
  }
  return text + "]}";
}

Result<CatalogueListing> DecodeListing(std::string_view text) {
  const ValidationResult<JsonNode> root = ParseJson(text, "answer");
  if (!root) return JoinErrors(ResultCode::kBadAnswer, root.error());
  const JsonNode* age = root.value().Find("age_ms");
  const JsonNode* entries = root.value().Find("entries");
  if (age == nullptr || entries == nullptr) {
    return Error{
        ResultCode::kBadAnswer,
        "the answer is not a catalogue listing: it lacks age_ms or entries"};
  }
  CatalogueListing listing;
  listing.age = std::chrono::milliseconds(age->integer);
  ValidationErrorCollector errors("answer");
  for (const JsonNode& item : entries->items) {
    listing.records.push_back(DecodeRecordForOperator(item, errors));
  }
  if (!errors.empty()) return JoinErrors(ResultCode::kBadAnswer, errors.Take());
  return listing;
}

std::string WriteEdit(const CatalogueEdit& edit) {
  return EditJson(edit).dump();
}

ValidationResult<CatalogueEdit> ReadEdit(const EntryName& name,
                                         std::string_view text) {
  const ValidationResult<JsonNode> root = ParseJson(text, "body");
  if (!root) return root.error();
  ValidationErrorCollector errors("body");
  if (root.value().kind != JsonKind::kObject) {
    errors.Add(root.value().line, "", "must be an object");
    return errors.Take();
  }
  CatalogueEdit edit = ReadEditNode(name, root.value(), errors);
  if (!errors.empty()) return errors.Take();
  return edit;
}

std::string EncodeConflict(const CatalogueConflict& conflict) {
  Json json = Json::object();
  json["code"] = static_cast<int>(ResultCode::kConflict);
  json["name"] = std::string(Name(ResultCode::kConflict));
  json["detail"] = conflict.present.name.value() + " was changed by " +
                   conflict.present.changed_by + " to version " +
                   std::to_string(conflict.present.version);
  json["present"] = Json::parse(EncodeRecordForOperator(conflict.present));
  json["yours"] = EditJson(conflict.yours);
  return json.dump();
}

Result<CatalogueConflict> DecodeConflict(std::string_view text) {
  const ValidationResult<JsonNode> root = ParseJson(text, "answer");
  if (!root) return JoinErrors(ResultCode::kBadAnswer, root.error());
  const JsonNode* present = root.value().Find("present");
  const JsonNode* yours = root.value().Find("yours");
  if (present == nullptr || yours == nullptr) {
    return Error{
        ResultCode::kBadAnswer,
        "the answer does not describe a conflict: it lacks present or yours"};
  }
  ValidationErrorCollector errors("answer");
  CatalogueConflict conflict;
  conflict.present = DecodeRecordForOperator(*present, errors);
  conflict.yours = ReadEditNode(conflict.present.name, *yours, errors);
  if (!errors.empty()) return JoinErrors(ResultCode::kBadAnswer, errors.Take());
  return conflict;
}

ValidationResult<std::vector<EntryDraft>> ReadDrafts(std::string_view text,
                                                     const std::string& file) {
  const ValidationResult<JsonNode> root = ParseJson(text, file);
  if (!root) return root.error();
  ValidationErrorCollector errors(file);
  std::vector<EntryDraft> drafts;
  if (root.value().kind != JsonKind::kList) {
    drafts.push_back(ReadDraft(root.value(), "", errors));
  } else {
    for (const JsonNode& item : root.value().items) {
      const std::string index = std::to_string(drafts.size());
      drafts.push_back(ReadDraft(item, "[" + index + "].", errors));
    }
  }
  RejectDuplicateNames(drafts, errors);
  if (!errors.empty()) return errors.Take();
  return drafts;
}

std::string WriteDraft(const EntryDraft& draft) {
  Json json = Json::object();
  if (draft.version) json["version"] = *draft.version;
  json.update(EntryJson(draft.entry));
  return json.dump(kIndent);
}

}  // namespace chivewing
