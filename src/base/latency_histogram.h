#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace chivewing {

// Histogram of durations from 1 us to 1000 s on a logarithmic axis. Not
// thread-safe: each duty keeps its own.
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
  // Upper edge of the bin that holds the given share (0 to 1) of all durations;
  // 0 when empty.
  std::chrono::nanoseconds Quantile(double share) const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins_;
  std::uint64_t count_ = 0;
  std::chrono::nanoseconds sum_{0};
};

}  // namespace chivewing
