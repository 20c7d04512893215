#include "placement/check.h"

#include <cstdlib>

#include "base/log.h"

namespace chivewing {

void FailCheck(std::string_view sentence) {
  LogError(LogPart::kPlacer, sentence);
  std::abort();
}

}  // namespace chivewing
