#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/latency_histogram.h"

namespace chivewing {

struct LoadResult {
  std::uint64_t done = 0;
  std::uint64_t other = 0;  // not run, unknown or no response
  double seconds = 0;
  LatencyHistogram latency;

  double PerSecond() const { return static_cast<double>(done) / seconds; }
};

// Keeps `open` requests to an entry in flight at one entry host for `time`,
// then waits for the last ones. With `keyed` each request has its own
// idempotency key.
LoadResult RunLoad(const std::string& caller_address, const std::string& entry,
                   int open, bool keyed, std::chrono::milliseconds time);

}  // namespace chivewing
