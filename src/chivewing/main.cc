#include "base/log.h"

int main() {
  chivewing::StartLog(chivewing::LogLevel::kInfo);
  return 0;
}
