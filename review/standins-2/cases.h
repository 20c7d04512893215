#pragma once

#include <string>

namespace review {

struct CaseSettings {
  std::string program;  // this program
  std::string folder;   // for logs and settings
  std::string record;
  bool trouble = true;
};

// A wide submission, and the dispatching host and a minion are lost together.
int RunWide(const CaseSettings& settings);
// A minion is cut off for two seconds, and an entry of another writer names its
// address.
int RunTwin(const CaseSettings& settings);
// An entry of another writer has a long key.
int RunForeign(const CaseSettings& settings);
}  // namespace review
