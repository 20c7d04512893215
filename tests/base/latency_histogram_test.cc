#include "base/latency_histogram.h"

#include <gtest/gtest.h>

namespace chivewing {
namespace {

TEST(LatencyHistogramTest, QuantileIsTheUpperEdgeOfItsBin) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 100; ++i) histogram.Add(std::chrono::milliseconds(i));
  EXPECT_EQ(histogram.count(), 100U);
  EXPECT_GE(histogram.Quantile(0.5), std::chrono::milliseconds(50));
  EXPECT_LE(histogram.Quantile(0.5), std::chrono::milliseconds(57));
}

}  // namespace
}  // namespace chivewing
