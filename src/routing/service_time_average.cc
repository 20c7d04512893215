#include "routing/service_time_average.h"

#include <algorithm>

namespace chivewing {

void ServiceTimeAverage::Add(Duration sample) {
  ++samples_;
  // Arithmetic mean until there are enough samples for the weight to apply.
  const double weight = std::max(weight_, 1.0 / samples_);
  mean_ += weight * (static_cast<double>(sample.count()) - mean_);
}

void ServiceTimeAverage::Reset() {
  mean_ = 0;
  samples_ = 0;
}

}  // namespace chivewing
