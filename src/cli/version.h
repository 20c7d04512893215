#pragma once

#include <string_view>

namespace chivewing {

inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace chivewing
