#include "schema/field_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

namespace chivewing {
namespace {

constexpr std::size_t kMaxTextLength = 200;
constexpr std::size_t kMaxNoteLength = 2000;
constexpr std::size_t kMaxNameLength = 64;
constexpr int kMaxPort = 65535;

// The value of a field, or the error message in `what`. Both are empty for a
// valid list of objects, which the caller reads itself.
struct FieldReadResult {
  std::optional<FieldValue> value;
  std::string what;
};

FieldReadResult MakeFailure(std::string what) {
  return {std::nullopt, std::move(what)};
}

FieldReadResult MakeKindFailure(const FieldSpec& spec, const JsonNode& node) {
  return MakeFailure("must be of type " + std::string(Name(spec.kind)) +
                     ", not " + std::string(Name(node.kind)));
}

bool IsNumeric(const JsonNode& node) {
  return node.kind == JsonKind::kInteger || node.kind == JsonKind::kNumber;
}

FieldReadResult ReadNumeric(const FieldSpec& spec, const JsonNode& node) {
  if (!IsNumeric(node)) return MakeKindFailure(spec, node);
  if (!(node.number >= spec.least && node.number <= spec.most)) {
    std::string what = "must be " + RangeText(spec);
    if (!spec.unit.empty()) what += " " + std::string(spec.unit);
    return MakeFailure(std::move(what));
  }
  if (spec.kind == FieldKind::kNumber) return {node.number, ""};
  if (node.kind != JsonKind::kInteger) return MakeKindFailure(spec, node);
  return {node.integer, ""};
}

FieldReadResult ReadText(const FieldSpec& spec, const JsonNode& node) {
  const bool is_note = spec.kind == FieldKind::kNote;
  const std::size_t max_size = is_note ? kMaxNoteLength : kMaxTextLength;
  const std::size_t min_size = is_note ? 0 : 1;
  if (node.text.size() < min_size || node.text.size() > max_size) {
    return MakeFailure("must have " + std::to_string(min_size) + " to " +
                       std::to_string(max_size) + " characters");
  }
  return {node.text, ""};
}

FieldReadResult ReadChoice(const FieldSpec& spec, const JsonNode& node) {
  const auto found =
      std::find(spec.choices.begin(), spec.choices.end(), node.text);
  if (found != spec.choices.end()) return {node.text, ""};
  return MakeFailure("must be one of " + RangeText(spec));
}

FieldReadResult ReadString(const FieldSpec& spec, const JsonNode& node) {
  if (node.kind != JsonKind::kText) return MakeKindFailure(spec, node);
  switch (spec.kind) {
    case FieldKind::kName:
      if (IsName(node.text)) return {node.text, ""};
      if (node.text.empty() && spec.allows_empty) return {node.text, ""};
      return MakeFailure(
          "must be a name: 1 to 64 letters, digits, '-', '_' or '.', the "
          "first a letter or digit");
    case FieldKind::kChoice:
      return ReadChoice(spec, node);
    case FieldKind::kAddress:
      if (IsAddress(node.text)) return {node.text, ""};
      return MakeFailure(
          "must be an IP number and port, such as 127.0.0.1:8080");
    case FieldKind::kTimeOfDay:
      if (node.text.empty() || IsTimeOfDay(node.text)) return {node.text, ""};
      return MakeFailure("must be a time of day in UTC as \"HH:MM\", or \"\"");
    default:
      return ReadText(spec, node);
  }
}

FieldReadResult ReadList(const FieldSpec& spec, const JsonNode& node) {
  if (node.kind != JsonKind::kList) return MakeKindFailure(spec, node);
  FieldSpec item_spec = spec;
  item_spec.kind = spec.kind == FieldKind::kNameList ? FieldKind::kName
                                                     : FieldKind::kAddress;
  std::vector<std::string> values;
  for (const JsonNode& item : node.items) {
    FieldReadResult read = ReadString(item_spec, item);
    if (!read.value) return read;
    if (std::find(values.begin(), values.end(), item.text) != values.end()) {
      return MakeFailure("lists " + item.text + " twice");
    }
    values.push_back(item.text);
  }
  if (spec.required && values.empty()) return MakeFailure("must not be empty");
  return {std::move(values), ""};
}

FieldReadResult ReadObjectList(const FieldSpec& spec, const JsonNode& node) {
  if (node.kind != JsonKind::kList) return MakeKindFailure(spec, node);
  for (const JsonNode& item : node.items) {
    if (item.kind != JsonKind::kObject) return MakeKindFailure(spec, item);
  }
  return {};
}

FieldReadResult ReadValue(const FieldSpec& spec, const JsonNode& node) {
  switch (spec.kind) {
    case FieldKind::kFlag:
      if (node.kind == JsonKind::kFlag) return {node.flag, ""};
      return MakeKindFailure(spec, node);
    case FieldKind::kInteger:
    case FieldKind::kNumber:
      return ReadNumeric(spec, node);
    case FieldKind::kNameList:
    case FieldKind::kAddressList:
      return ReadList(spec, node);
    case FieldKind::kObjectList:
      return ReadObjectList(spec, node);
    default:
      return ReadString(spec, node);
  }
}

// Reads one document recursively and records which fields are present.
class DocumentReader {
 public:
  DocumentReader(std::span<const FieldSpec> specs, const std::string& prefix,
                 const FieldValueCallback& assign,
                 ValidationErrorCollector& errors)
      : specs_(specs),
        prefix_(prefix),
        assign_(assign),
        errors_(errors),
        present_(specs.size(), false) {}

  void ReadObject(const JsonNode& object, const std::string& path) {
    for (const JsonNode& member : object.items) {
      ReadMember(member, path + member.key);
    }
  }

  void ReportMissing(int line) {
    for (std::size_t i = 0; i < specs_.size(); ++i) {
      if (specs_[i].required && !present_[i]) {
        errors_.Add(line, prefix_ + std::string(specs_[i].name), "is missing");
      }
    }
  }

 private:
  void ReadMember(const JsonNode& member, const std::string& name) {
    for (std::size_t i = 0; i < specs_.size(); ++i) {
      if (specs_[i].name == name) return ReadField(i, member);
    }
    if (!IsFieldPrefix(name)) {
      errors_.Add(member.line, prefix_ + name, "unknown key");
    } else if (member.kind != JsonKind::kObject) {
      errors_.Add(member.line, prefix_ + name,
                  "must be an object, not " + std::string(Name(member.kind)));
      MarkGroupPresent(name);
    } else {
      ReadObject(member, name + ".");
    }
  }

  void ReadField(std::size_t index, const JsonNode& member) {
    present_[index] = true;
    const FieldSpec& spec = specs_[index];
    const std::string key = prefix_ + std::string(spec.name);
    errors_.Locate(key, member.line);
    FieldReadResult read = ReadValue(spec, member);
    if (!read.what.empty()) {
      errors_.AddAtKey(key, read.what);
    } else if (read.value) {
      assign_(index, std::move(*read.value));
    }
  }

  // Marks all fields of a group that is not an object as present, so that they
  // are not reported as missing too.
  void MarkGroupPresent(const std::string& name) {
    for (std::size_t i = 0; i < specs_.size(); ++i) {
      if (specs_[i].name.starts_with(name + ".")) present_[i] = true;
    }
  }

  // Whether `name` is the dotted prefix of at least one field.
  bool IsFieldPrefix(const std::string& name) const {
    const std::string start = name + ".";
    return std::any_of(specs_.begin(), specs_.end(),
                       [&start](const FieldSpec& spec) {
                         return spec.name.starts_with(start);
                       });
  }

  std::span<const FieldSpec> specs_;
  const std::string& prefix_;
  const FieldValueCallback& assign_;
  ValidationErrorCollector& errors_;
  std::vector<bool> present_;
};

bool IsPort(std::string_view text) {
  int port = -1;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, port);
  return read.ec == std::errc() && read.ptr == end && port >= 0 &&
         port <= kMaxPort;
}

bool IsNameCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.';
}

int ParseTwoDigits(const std::string& text, std::size_t position) {
  const char tens = text[position];
  const char ones = text[position + 1];
  if (std::isdigit(static_cast<unsigned char>(tens)) == 0) return -1;
  if (std::isdigit(static_cast<unsigned char>(ones)) == 0) return -1;
  return (tens - '0') * 10 + (ones - '0');
}

}  // namespace

void ReadFields(std::span<const FieldSpec> specs, const JsonNode& object,
                const std::string& prefix, const FieldValueCallback& assign,
                ValidationErrorCollector& errors) {
  if (object.kind != JsonKind::kObject) {
    const std::string key = prefix.substr(0, prefix.rfind('.'));
    errors.Add(object.line, key,
               "must be an object, not " + std::string(Name(object.kind)));
    return;
  }
  DocumentReader reader(specs, prefix, assign, errors);
  reader.ReadObject(object, "");
  reader.ReportMissing(object.line);
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  if (!IsPort(std::string_view(text).substr(colon + 1))) return false;
  const std::string host = text.substr(0, colon);
  in_addr v4{};
  if (inet_pton(AF_INET, host.c_str(), &v4) == 1) return true;
  if (host.size() < 2 || host.front() != '[' || host.back() != ']')
    return false;
  in6_addr v6{};
  return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6) == 1;
}

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  if (std::isalnum(static_cast<unsigned char>(text.front())) == 0) return false;
  return std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsTimeOfDay(const std::string& text) {
  if (text.size() != 5 || text[2] != ':') return false;
  const int hours = ParseTwoDigits(text, 0);
  const int minutes = ParseTwoDigits(text, 3);
  return hours >= 0 && hours < 24 && minutes >= 0 && minutes < 60;
}

}  // namespace chivewing
