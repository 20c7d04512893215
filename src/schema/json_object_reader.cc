#include "schema/json_object_reader.h"

namespace chivewing {
namespace {

bool IsKind(const JsonNode& node, JsonKind wanted) {
  if (node.kind == wanted) return true;
  return wanted == JsonKind::kNumber && node.kind == JsonKind::kInteger;
}

}  // namespace

JsonObjectReader::JsonObjectReader(const JsonNode& object) : object_(object) {
  if (object.kind != JsonKind::kObject) problem_ = "not an object";
}

void JsonObjectReader::Fail(std::string_view name, std::string_view what) {
  if (!problem_.empty()) return;
  problem_ = std::string(name) + ": " + std::string(what);
}

const JsonNode* JsonObjectReader::Take(std::string_view name, JsonKind kind,
                                       bool required) {
  const JsonNode* const member = object_.Find(name);
  if (member == nullptr || member->kind == JsonKind::kNull) {
    if (required) Fail(name, "is missing");
    return nullptr;
  }
  if (IsKind(*member, kind)) return member;
  Fail(name, "is not " + std::string(Name(kind)));
  return nullptr;
}

std::string JsonObjectReader::Text(std::string_view name) {
  const JsonNode* const member = Take(name, JsonKind::kText, true);
  return member == nullptr ? std::string() : member->text;
}

std::string JsonObjectReader::Text(std::string_view name,
                                   std::string_view fallback) {
  const JsonNode* const member = Take(name, JsonKind::kText, false);
  return member == nullptr ? std::string(fallback) : member->text;
}

std::int64_t JsonObjectReader::Integer(std::string_view name) {
  const JsonNode* const member = Take(name, JsonKind::kInteger, true);
  return member == nullptr ? 0 : member->integer;
}

std::int64_t JsonObjectReader::Integer(std::string_view name,
                                       std::int64_t fallback) {
  const JsonNode* const member = Take(name, JsonKind::kInteger, false);
  return member == nullptr ? fallback : member->integer;
}

double JsonObjectReader::Number(std::string_view name, double fallback) {
  const JsonNode* const member = Take(name, JsonKind::kNumber, false);
  return member == nullptr ? fallback : member->number;
}

bool JsonObjectReader::Flag(std::string_view name, bool fallback) {
  const JsonNode* const member = Take(name, JsonKind::kFlag, false);
  return member == nullptr ? fallback : member->flag;
}

const std::vector<JsonNode>& JsonObjectReader::List(std::string_view name) {
  static const std::vector<JsonNode> none;
  const JsonNode* const member = Take(name, JsonKind::kList, false);
  return member == nullptr ? none : member->items;
}

const JsonNode* JsonObjectReader::Object(std::string_view name) {
  return Take(name, JsonKind::kObject, false);
}

}  // namespace chivewing
