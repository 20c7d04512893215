#pragma once

#include <string>
#include <string_view>

namespace chivewing {

// Parts of the program; each has a fixed prefix in the log.
enum class LogPart {
  kMain,
  kSettings,
  kCatalogue,
  kRouter,
  kPlacer,
  kPeer,
  kShare,
  kLease,
  kClaim,
  kPlatform,
  kWorker,
  kHttp,
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Sends the log to standard error; messages below `least` are dropped.
void InitLogging(LogLevel least);

// Writes one short sentence. A sentence of the same part and level beyond the
// limit of lines a second is dropped and counted; the count is logged with the
// next line let through.
void Log(LogPart part, LogLevel level, std::string_view sentence);

inline void LogInfo(LogPart part, std::string_view sentence) {
  Log(part, LogLevel::kInfo, sentence);
}
inline void LogWarning(LogPart part, std::string_view sentence) {
  Log(part, LogLevel::kWarning, sentence);
}
inline void LogError(LogPart part, std::string_view sentence) {
  Log(part, LogLevel::kError, sentence);
}

}  // namespace chivewing
