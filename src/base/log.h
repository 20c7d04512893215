#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace chivewing {

// Parts of the program. Each has a fixed prefix in the log and a rate limit of
// its own per level.
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

// Configures logging to standard output. Messages below the level `least` are
// dropped.
void InitLogging(LogLevel least);

// Writes one log line; may be called from any thread. Lines of one part and
// level beyond the limit per second are dropped and counted, and the next line
// written states the count.
void Log(LogPart part, LogLevel level, std::string_view sentence);

// As LogInfo, for a line about the request or job `id`. If there are more such
// lines than the limit per second, all lines of some requests are written and
// none of the others; `sentence` is called only for those written.
void LogRequest(LogPart part, std::string_view id,
                const std::function<std::string()>& sentence);

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
