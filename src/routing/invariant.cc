#include "routing/invariant.h"

#include <cstdlib>
#include <string>

#include "base/log.h"

namespace chivewing {

void CheckInvariant(bool holds, std::string_view what) {
  if (holds) return;
  LogError(LogPart::kRouter,
           "router invariant violated, aborting: " + std::string(what));
  std::abort();
}

}  // namespace chivewing
