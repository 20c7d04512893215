#include "base/latency_histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace chivewing {
namespace {

constexpr unsigned kBins = 180;  // 20 bins per decade over 9 decades
constexpr double kLowestMicroseconds = 1.0;
constexpr double kHighestMicroseconds = 1e9;

auto MakeBins() {
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  return boost::histogram::make_histogram(
      Axis(kBins, kLowestMicroseconds, kHighestMicroseconds));
}

}  // namespace

struct LatencyHistogram::Bins {
  decltype(MakeBins()) histogram = MakeBins();
};

LatencyHistogram::LatencyHistogram() : bins_(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Add(std::chrono::nanoseconds value) {
  const double microseconds = static_cast<double>(value.count()) / 1000.0;
  bins_->histogram(std::max(microseconds, kLowestMicroseconds));
  ++count_;
  sum_ += value;
}

std::chrono::nanoseconds LatencyHistogram::mean() const {
  return count_ == 0 ? std::chrono::nanoseconds(0)
                     : sum_ / static_cast<std::int64_t>(count_);
}

std::chrono::nanoseconds LatencyHistogram::Quantile(double share) const {
  const double wanted = share * static_cast<double>(count_);
  const auto& axis = bins_->histogram.axis();
  double seen = 0;
  for (int bin = 0; bin < axis.size() && count_ > 0; ++bin) {
    seen += bins_->histogram.at(bin);
    if (seen >= wanted) {
      return std::chrono::nanoseconds(
          static_cast<std::int64_t>(axis.bin(bin).upper() * 1000.0));
    }
  }
  return std::chrono::nanoseconds(0);
}

}  // namespace chivewing
