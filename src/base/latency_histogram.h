#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace chivewing {

// Histogram of durations from 1 us to 1000 s on a logarithmic axis. Not
// thread-safe: each component keeps an instance of its own.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(std::chrono::nanoseconds value);

  // Number of durations added.
  std::uint64_t count() const { return count_; }
  std::chrono::nanoseconds mean() const;
  // Returns the upper edge of the bin that contains the quantile `share` (0 to
  // 1) of all durations, or 0 when the histogram is empty.
  std::chrono::nanoseconds Quantile(double share) const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins_;
  std::uint64_t count_ = 0;
  std::chrono::nanoseconds sum_{0};
};

}  // namespace chivewing
