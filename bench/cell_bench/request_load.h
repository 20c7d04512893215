#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/latency_histogram.h"

namespace chivewing {

struct LoadResult {
  std::uint64_t done = 0;
  std::uint64_t other = 0;  // not run, unknown, or without an answer
  double seconds = 0;
  LatencyHistogram latency;

  double PerSecond() const { return static_cast<double>(done) / seconds; }
};

// Keeps `open` requests to an entry under way at one entry host for `time`.
// With `keyed` each carries an idempotency key of its own.
LoadResult RunLoad(const std::string& caller_address, const std::string& entry,
                   int open, bool keyed, std::chrono::milliseconds time);

}  // namespace chivewing
