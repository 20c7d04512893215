#pragma once

#include "cli/arguments.h"
#include "cli/exit_status.h"
#include "cli/verb.h"

namespace chivewing {

// Implementations of the verbs that change the catalogue or compare files with
// it.

// Applies every entry of the files. Entries whose file states no version must
// be new, or equal to the entry in force, unless --overwrite is given.
// Continues after a conflict and returns the most severe status.
ExitStatus ApplyFiles(const Arguments& arguments, const CliEnvironment& hooks);

// Removes one entry.
ExitStatus RemoveEntry(const Arguments& arguments, const CliEnvironment& hooks);

// Writes what ApplyFiles would change, without changing it.
ExitStatus DiffFiles(const Arguments& arguments, const CliEnvironment& hooks);

}  // namespace chivewing
