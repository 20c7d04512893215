#pragma once

#include <string>
#include <vector>

#include "catalogue/catalogue_messages.h"
#include "schema/validation_error.h"

namespace chivewing {

// The entries of all files, or every fault in all files. Two entries of one
// name are refused.
ValidationResult<std::vector<EntryDraft>> ReadDraftFiles(
    const std::vector<std::string>& paths);

}  // namespace chivewing
