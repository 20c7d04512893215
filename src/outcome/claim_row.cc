#include "outcome/claim_row.h"

#include <array>
#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 3> kStateNames = {"done", "not_run",
                                                    "unknown"};
constexpr unsigned kFirstTwoByteCharacter = 0x80;
constexpr unsigned kContinuationBits = 6;
constexpr unsigned kContinuationMask = 0x3F;

// A row's value must be UTF-8, but a body may contain any bytes. Each byte is
// encoded as the code point of the same number.
std::string BytesToUtf8(const std::string& bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char each : bytes) {
    const auto byte = static_cast<unsigned char>(each);
    if (byte < kFirstTwoByteCharacter) {
      text.push_back(each);
      continue;
    }
    text.push_back(static_cast<char>(0xC0U | byte >> kContinuationBits));
    text.push_back(static_cast<char>(0x80U | (byte & kContinuationMask)));
  }
  return text;
}

std::string Utf8ToBytes(const std::string& text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto first = static_cast<unsigned char>(text[i]);
    if (first < kFirstTwoByteCharacter || i + 1 == text.size()) {
      bytes.push_back(text[i]);
      continue;
    }
    const auto second = static_cast<unsigned char>(text[++i]);
    bytes.push_back(static_cast<char>(first << kContinuationBits |
                                      (second & kContinuationMask)));
  }
  return bytes;
}

std::optional<OutcomeState> ParseState(const std::string& name) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (name == kStateNames.at(i)) return static_cast<OutcomeState>(i);
  }
  return std::nullopt;
}

ResultCode ParseCode(int number) {
  for (const ResultCodeInfo& row : ResultCodes()) {
    if (static_cast<int>(row.code) == number) return row.code;
  }
  return ResultCode::kInternal;
}

bool IsUnescaped(char each) {
  return (each >= '0' && each <= '9') || (each >= 'A' && each <= 'Z') ||
         (each >= 'a' && each <= 'z') || each == '-' || each == '_' ||
         each == '.';
}

std::string Escape(const std::string& text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  constexpr unsigned digit_bits = 4;
  std::string escaped;
  for (const char each : text) {
    if (IsUnescaped(each)) {
      escaped.push_back(each);
      continue;
    }
    const auto byte = static_cast<unsigned char>(each);
    escaped.push_back('%');
    escaped.push_back(digits[byte >> digit_bits]);
    escaped.push_back(digits[byte & 0xFU]);
  }
  return escaped;
}

}  // namespace

std::string ClaimRowKey(const OwnerId& owner, const std::string& key) {
  return "claim/" + Escape(owner.value()) + "/" + Escape(key);
}

std::string EncodeClaimRow(const ClaimRow& row) {
  Json json = {{"request", row.request.value()},
               {"host", row.host.value()},
               {"incarnation", row.incarnation},
               {"state", "open"}};
  if (row.outcome) {
    const Outcome& outcome = *row.outcome;
    json["state"] = kStateNames.at(static_cast<std::size_t>(outcome.state));
    json["status"] = outcome.status;
    json["body"] = BytesToUtf8(outcome.body);
    json["code"] = static_cast<int>(outcome.code);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ClaimRow> DecodeClaimRow(const std::string& value) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    ClaimRow row;
    row.request = RequestId(json.at("request").get<std::string>());
    row.host = HostId(json.at("host").get<std::string>());
    row.incarnation = json.at("incarnation").get<std::uint64_t>();
    const auto state = json.at("state").get<std::string>();
    if (state == "open") return row;
    const std::optional<OutcomeState> parsed = ParseState(state);
    if (!parsed) return std::nullopt;
    row.outcome = Outcome{*parsed, json.at("status").get<int>(),
                          Utf8ToBytes(json.at("body").get<std::string>()),
                          ParseCode(json.at("code").get<int>())};
    return row;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace chivewing
