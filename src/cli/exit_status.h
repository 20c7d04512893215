#pragma once

namespace chivewing {

// Exit statuses of the program; docs/COMMANDS.md lists them.
enum class ExitStatus {
  kOk = 0,
  kFailed = 1,       // failed or rejected
  kBadInput = 2,     // usage, settings or entry
  kConflict = 3,     // another change came first
  kUnknown = 4,      // sent, outcome unknown
  kUnreachable = 5,  // no address could be reached
};

}  // namespace chivewing
