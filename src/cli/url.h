#pragma once

#include <string>
#include <string_view>

namespace chivewing {

// Returns the text with all but unreserved characters percent-encoded.
std::string EscapeUrl(std::string_view text);

}  // namespace chivewing
