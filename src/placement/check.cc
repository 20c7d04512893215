#include "placement/check.h"

#include <cstdlib>

#include "base/log.h"

namespace chivewing {

void FailCheck(std::string_view message) {
  LogError(LogPart::kPlacer, message);
  std::abort();
}

}  // namespace chivewing
