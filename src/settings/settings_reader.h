#pragma once

#include <string>
#include <string_view>

#include "schema/validation_error.h"
#include "settings/settings.h"

namespace chivewing {

// Reads and validates settings from JSON text with comments. Returns the
// settings, or all errors found: syntax errors, unknown, duplicate and missing
// keys, wrong types, values out of range and violated rules between values.
// `file` is only used as the file name in errors.
ValidationResult<Settings> ReadSettings(std::string_view text,
                                        const std::string& file);

// Reads the settings file at `path` with blocking I/O.
ValidationResult<Settings> ReadSettingsFile(const std::string& path);

}  // namespace chivewing
