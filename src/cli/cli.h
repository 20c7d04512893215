#pragma once

#include <string>
#include <vector>

#include "cli/verb.h"

namespace chivewing {

// Runs one command line; `words` leaves out the program's name. Gives the exit
// status, which docs/COMMANDS.md lists.
int RunCli(const std::vector<std::string>& words, const CliEnvironment& hooks);

// The text of --help for one verb, and for all.
std::string VerbHelp(const Verb& verb);
std::string GeneralHelp();

}  // namespace chivewing
