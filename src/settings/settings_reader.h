#pragma once

#include <string>
#include <string_view>

#include "schema/validation_error.h"
#include "settings/settings.h"

namespace chivewing {

// Reads settings from JSON text with comments. Gives the settings, or every
// fault that was found: syntax, unknown, duplicate and missing keys, wrong
// types, values out of range, and values that do not go together. `file` is
// only named in faults.
ValidationResult<Settings> ReadSettings(std::string_view text,
                                        const std::string& file);

// Reads the settings file at `path`.
ValidationResult<Settings> ReadSettingsFile(const std::string& path);

}  // namespace chivewing
