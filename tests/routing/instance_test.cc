#include "routing/instance.h"

#include <gtest/gtest.h>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Two requests without a response, of which the instance still runs one: the
// status does not say which, so the one that may run longest stays counted.
TEST(InstanceTest, StatusKeepsTheWorkThatMayRunLongest) {
  Instance instance({});
  instance.AddAbandonedSlot({kStart, kStart + milliseconds(100)});
  instance.AddAbandonedSlot({kStart, kStart + milliseconds(300)});
  TargetStatus status;
  status.running = 1;
  instance.ApplyStatus(status, kStart + milliseconds(50));
  EXPECT_EQ(instance.abandoned_slots(), 1U);
  instance.ExpireAbandonedSlots(kStart + milliseconds(200));
  EXPECT_EQ(instance.abandoned_slots(), 1U);
  instance.ExpireAbandonedSlots(kStart + milliseconds(300));
  EXPECT_EQ(instance.abandoned_slots(), 0U);
}

}  // namespace
}  // namespace chivewing
