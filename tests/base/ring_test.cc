#include "base/ring.h"

#include <gtest/gtest.h>

namespace chivewing {
namespace {

TEST(RingTest, RejectsWhenFullAndKeepsOrder) {
  Ring<int> ring(2);
  EXPECT_TRUE(ring.Push(1));
  EXPECT_TRUE(ring.Push(2));
  EXPECT_FALSE(ring.Push(3));
  std::vector<int> out;
  ring.PopAll(out, std::chrono::nanoseconds(0));
  EXPECT_EQ(out, (std::vector<int>{1, 2}));
  EXPECT_EQ(ring.refused(), 1U);
}

}  // namespace
}  // namespace chivewing
