#include "schema/json_object_reader.h"

namespace chivewing {
namespace {

bool HasKind(const JsonNode& node, JsonKind kind) {
  if (node.kind == kind) return true;
  return kind == JsonKind::kNumber && node.kind == JsonKind::kInteger;
}

}  // namespace

JsonObjectReader::JsonObjectReader(const JsonNode& object) : object_(object) {
  if (object.kind != JsonKind::kObject) first_error_ = "not an object";
}

void JsonObjectReader::Fail(std::string_view name, std::string_view what) {
  if (!first_error_.empty()) return;
  first_error_ = std::string(name) + ": " + std::string(what);
}

const JsonNode* JsonObjectReader::FindMember(std::string_view name,
                                             JsonKind kind, bool required) {
  const JsonNode* const member = object_.Find(name);
  if (member == nullptr || member->kind == JsonKind::kNull) {
    if (required) Fail(name, "is missing");
    return nullptr;
  }
  if (HasKind(*member, kind)) return member;
  Fail(name, "is not " + std::string(Name(kind)));
  return nullptr;
}

std::string JsonObjectReader::Text(std::string_view name) {
  const JsonNode* const member = FindMember(name, JsonKind::kText, true);
  return member == nullptr ? std::string() : member->text;
}

std::string JsonObjectReader::Text(std::string_view name,
                                   std::string_view fallback) {
  const JsonNode* const member = FindMember(name, JsonKind::kText, false);
  return member == nullptr ? std::string(fallback) : member->text;
}

std::int64_t JsonObjectReader::Integer(std::string_view name) {
  const JsonNode* const member = FindMember(name, JsonKind::kInteger, true);
  return member == nullptr ? 0 : member->integer;
}

std::int64_t JsonObjectReader::Integer(std::string_view name,
                                       std::int64_t fallback) {
  const JsonNode* const member = FindMember(name, JsonKind::kInteger, false);
  return member == nullptr ? fallback : member->integer;
}

double JsonObjectReader::Number(std::string_view name) {
  const JsonNode* const member = FindMember(name, JsonKind::kNumber, true);
  return member == nullptr ? 0 : member->number;
}

double JsonObjectReader::Number(std::string_view name, double fallback) {
  const JsonNode* const member = FindMember(name, JsonKind::kNumber, false);
  return member == nullptr ? fallback : member->number;
}

bool JsonObjectReader::Flag(std::string_view name, bool fallback) {
  const JsonNode* const member = FindMember(name, JsonKind::kFlag, false);
  return member == nullptr ? fallback : member->flag;
}

const std::vector<JsonNode>& JsonObjectReader::List(std::string_view name) {
  static const std::vector<JsonNode> none;
  const JsonNode* const member = FindMember(name, JsonKind::kList, false);
  return member == nullptr ? none : member->items;
}

const JsonNode* JsonObjectReader::Object(std::string_view name) {
  return FindMember(name, JsonKind::kObject, false);
}

}  // namespace chivewing
