#include "base/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <string>

#include "base/request_sampler.h"
#include "base/time.h"

INITIALIZE_EASYLOGGINGPP

namespace chivewing {
namespace {

constexpr int kMaxLinesPerSecond = 400;
constexpr int kMaxRequestLinesPerSecond = 400;
constexpr std::size_t kMaxSentenceBytes = 8192;
constexpr std::size_t kParts = static_cast<std::size_t>(LogPart::kHttp) + 1;
constexpr std::size_t kLevels = static_cast<std::size_t>(LogLevel::kError) + 1;
constexpr std::array<std::string_view, kParts> kPrefixes = {
    "main",  "settings", "catalogue", "router",   "placer", "peer",
    "share", "lease",    "claim",     "platform", "worker", "http"};

struct RateWindow {
  TimePoint start;
  int lines = 0;
  int dropped = 0;
};

std::mutex window_mutex;
std::array<std::array<RateWindow, kLevels>, kParts> windows;
RequestSampler request_sampler(kMaxRequestLinesPerSecond);
LogLevel min_level = LogLevel::kWarning;

// Applies the rate limit of a part and level. Returns -1 when the line is over
// the limit, otherwise the number of lines dropped since the last one written.
int AdmitLine(LogPart part, LogLevel level) {
  const std::lock_guard lock(window_mutex);
  RateWindow& window = windows.at(static_cast<std::size_t>(part))
                           .at(static_cast<std::size_t>(level));
  const TimePoint now = BootClock::now();
  if (now - window.start >= std::chrono::seconds(1)) {
    window.start = now;
    window.lines = 0;
  }
  if (++window.lines > kMaxLinesPerSecond) {
    ++window.dropped;
    return -1;
  }
  return std::exchange(window.dropped, 0);
}

// The same for a line about a request.
int AdmitRequestLine(std::string_view id) {
  const std::lock_guard lock(window_mutex);
  if (!request_sampler.Admit(BootClock::now(), id)) return -1;
  return request_sampler.TakeDropped();
}

// Texts from outside may hold anything: control characters are written as
// escapes, so that a sentence stays one line, and the rest of a very long one
// is left out.
void AppendSentence(std::string_view sentence, std::string& line) {
  constexpr std::string_view digits = "0123456789abcdef";
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char delete_character = 0x7f;
  constexpr unsigned int half_byte = 4;
  const std::size_t bytes = std::min(sentence.size(), kMaxSentenceBytes);
  for (const char c : sentence.substr(0, bytes)) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= first_printable && byte != delete_character) {
      line.push_back(c);
      continue;
    }
    line.append("\\x").push_back(digits[byte >> half_byte]);
    line.push_back(digits[byte % digits.size()]);
  }
  if (bytes == sentence.size()) return;
  line.append(" (")
      .append(std::to_string(sentence.size() - bytes))
      .append(" more bytes left out)");
}

// `dropped` lines before this one have not been written.
void Write(LogPart part, LogLevel level, std::string_view sentence,
           int dropped) {
  std::string line(kPrefixes.at(static_cast<std::size_t>(part)));
  line.append(": ");
  AppendSentence(sentence, line);
  if (dropped > 0)
    line.append(" (")
        .append(std::to_string(dropped))
        .append(" earlier lines dropped by the rate limit)");
  switch (level) {
    case LogLevel::kDebug:
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace

void InitLogging(LogLevel least) {
  min_level = least;
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  config.setGlobally(el::ConfigurationType::Format, "%datetime %level %msg");
  el::Loggers::reconfigureAllLoggers(config);
}

void Log(LogPart part, LogLevel level, std::string_view sentence) {
  if (level < min_level) return;
  const int dropped = AdmitLine(part, level);
  if (dropped >= 0) Write(part, level, sentence, dropped);
}

void LogRequest(LogPart part, std::string_view id,
                const std::function<std::string()>& sentence) {
  if (LogLevel::kInfo < min_level) return;
  const int dropped = AdmitRequestLine(id);
  if (dropped >= 0) Write(part, LogLevel::kInfo, sentence(), dropped);
}

}  // namespace chivewing
