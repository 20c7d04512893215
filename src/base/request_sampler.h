#pragma once

#include <string_view>

#include "base/time.h"

namespace chivewing {

// Chooses the requests whose log lines are written when there are more lines
// than a limit allows, which is exceeded for a second at most, and at most by
// twice. It keeps all lines of a request or none, so that what is
// written tells the whole story of a request, and prefers the same requests on
// all hosts and in all seconds. Reads no clock; not thread-safe.
class RequestSampler {
 public:
  explicit RequestSampler(int max_lines_per_second)
      : max_lines_(max_lines_per_second) {}

  // True if a line about the request `id` is to be written.
  bool Admit(TimePoint now, std::string_view id);
  // The number of lines not admitted since the last call.
  int TakeDropped();

 private:
  void StartWindow(TimePoint now);

  const int max_lines_;
  TimePoint window_start_{};
  int offered_ = 0;   // in this window
  int admitted_ = 0;  // in this window
  int dropped_ = 0;
  double share_ = 1.0;  // of the requests
};

}  // namespace chivewing
