#include "cli/url.h"

#include <cctype>

namespace chivewing {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool IsUnreserved(unsigned char c) {
  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~';
}

}  // namespace

std::string EscapeUrl(std::string_view text) {
  std::string escaped;
  for (const char each : text) {
    const auto c = static_cast<unsigned char>(each);
    if (IsUnreserved(c)) {
      escaped += each;
      continue;
    }
    escaped += '%';
    escaped += kHexDigits[c / 16];
    escaped += kHexDigits[c % 16];
  }
  return escaped;
}

}  // namespace chivewing
