#pragma once

#include "cli/arguments.h"
#include "cli/exit_status.h"
#include "cli/verb.h"

namespace chivewing {

// Bodies of the verbs that change the catalogue or compare files with it.

// Applies every entry of the files. Entries whose file states no version must
// be new, or equal to what is in force, unless --overwrite is given. Goes on
// after a conflict, and gives the gravest status.
ExitStatus ApplyFiles(const Arguments& arguments, const CliEnvironment& hooks);

// Removes one entry.
ExitStatus RemoveEntry(const Arguments& arguments, const CliEnvironment& hooks);

// Shows what ApplyFiles would change.
ExitStatus DiffFiles(const Arguments& arguments, const CliEnvironment& hooks);

}  // namespace chivewing
