#pragma once

#include <string>
#include <vector>

#include "catalogue/catalogue_messages.h"
#include "schema/validation_error.h"

namespace chivewing {

// Reads the entries of all files, or returns every validation error in them.
// Two entries with the same name are an error.
ValidationResult<std::vector<EntryDraft>> ReadDraftFiles(
    const std::vector<std::string>& paths);

}  // namespace chivewing
