#pragma once

namespace chivewing {

// Exit statuses of the program; docs/COMMANDS.md lists them.
enum class ExitStatus {
  kOk = 0,
  kFailed = 1,       // failed or refused
  kBadInput = 2,     // usage, settings or entry
  kConflict = 3,     // somebody else changed it first
  kUnknown = 4,      // sent, and it is not known whether it took effect
  kUnreachable = 5,  // no address could be reached
};

}  // namespace chivewing
