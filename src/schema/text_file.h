#pragma once

#include <string>

#include "schema/validation_error.h"

namespace chivewing {

// Reads a whole file with blocking I/O. Fails if it cannot be read or is larger
// than 4 MB.
ValidationResult<std::string> ReadTextFile(const std::string& path);

}  // namespace chivewing
