#pragma once

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

#include "base/time.h"

namespace review {

// Milliseconds on the machine's steady clock, which all processes share.
inline std::int64_t SteadyMs() {
  const auto now = chivewing::BootClock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Appends lines to a file that several processes share: time, source, event.
class EventLog {
 public:
  EventLog(const std::string& path, std::string source)
      : source_(std::move(source)), file_(std::fopen(path.c_str(), "a")) {
    if (file_ != nullptr) std::setvbuf(file_, nullptr, _IOLBF, 1U << 16U);
  }

  void Write(const std::string& event) {
    const std::lock_guard lock(mutex_);
    const std::string line =
        std::to_string(SteadyMs()) + " " + source_ + " " + event + "\n";
    if (file_ != nullptr) std::fputs(line.c_str(), file_);
  }

 private:
  std::mutex mutex_;
  std::string source_;
  std::FILE* file_;
};

}  // namespace review
