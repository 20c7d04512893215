#pragma once

#include <string>

#include "schema/validation_error.h"

namespace chivewing {

// The whole text of a file, or the fault that it cannot be read. Files over
// 4 MB are refused.
ValidationResult<std::string> ReadTextFile(const std::string& path);

}  // namespace chivewing
