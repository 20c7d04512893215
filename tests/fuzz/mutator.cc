#include "fuzz/mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace chivewing {
namespace {

constexpr std::size_t kMaxChanges = 4;
constexpr std::size_t kMaxRange = 16;
constexpr std::size_t kByteValues = 256;
constexpr std::array<std::string_view, 18> kExtremeValues = {
    "null",
    "true",
    "[]",
    "{}",
    "\"\"",
    "\"\\u0000\"",
    "-1",
    "0",
    "1",
    "1e308",
    "-1e308",
    "0.5",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551615",
    "99999999999999999999999",
    "[[[[[[[[]]]]]]]]",
    "1000000000"};

}  // namespace

std::size_t Mutator::Below(std::size_t end) {
  return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
}

std::string Mutator::Mutate(const std::vector<std::string>& samples) {
  std::string text = samples[Below(samples.size())];
  const std::size_t changes = 1 + Below(kMaxChanges);
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    switch (Below(8)) {
      case 0:
        ChangeByte(text);
        break;
      case 1:
        DropRange(text);
        break;
      case 2:
        RepeatRange(text);
        break;
      case 3:
        CutOff(text);
        break;
      default:
        ReplaceScalar(text);
    }
  }
  return text;
}

void Mutator::ChangeByte(std::string& text) {
  text[Below(text.size())] = static_cast<char>(Below(kByteValues));
}

void Mutator::DropRange(std::string& text) {
  text.erase(Below(text.size()), 1 + Below(kMaxRange));
}

void Mutator::RepeatRange(std::string& text) {
  const std::string range =
      text.substr(Below(text.size()), 1 + Below(kMaxRange));
  text.insert(Below(text.size()), range);
}

void Mutator::CutOff(std::string& text) { text.resize(Below(text.size())); }

void Mutator::ReplaceScalar(std::string& text) {
  const std::size_t from = text.find_first_of(":,[", Below(text.size()));
  if (from == std::string::npos) return;
  const std::size_t to =
      std::min(text.find_first_of(",]}", from + 1), text.size());
  text.replace(from + 1, to - from - 1,
               kExtremeValues.at(Below(kExtremeValues.size())));
}

}  // namespace chivewing
