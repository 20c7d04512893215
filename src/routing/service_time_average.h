#pragma once

#include <cstdint>

#include "base/time.h"

namespace chivewing {

// Exponentially weighted mean of service times.
class ServiceTimeAverage {
 public:
  // `weight` of a new sample in the mean, 0 to 1.
  explicit ServiceTimeAverage(double weight) : weight_(weight) {}

  void Add(Duration sample);
  void Reset();

  std::uint32_t samples() const { return samples_; }
  // 0 before the first sample.
  Duration mean() const { return Duration(static_cast<Duration::rep>(mean_)); }

 private:
  double weight_;
  double mean_ = 0;  // nanoseconds
  std::uint32_t samples_ = 0;
};

}  // namespace chivewing
