#pragma once

#include <string>
#include <vector>

#include "cli/verb.h"

namespace chivewing {

// Runs one command line; `words` excludes the program's name. Returns the exit
// status, as listed in docs/COMMANDS.md.
int RunCli(const std::vector<std::string>& words, const CliEnvironment& hooks);

// Return the text of --help for one verb and for the program.
std::string VerbHelp(const Verb& verb);
std::string GeneralHelp();

}  // namespace chivewing
