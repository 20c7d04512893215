#include "cluster/job_state_outbox.h"

#include <gtest/gtest.h>

#include <chrono>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
// Commits of a busy dispatching host, and the messages that each other host may
// get for them.
constexpr int kCommits = 100;
constexpr milliseconds kCommitInterval{10};
constexpr std::size_t kMaxMessagesPerSecond = 25;
constexpr milliseconds kMaxDelay{60};

TEST(JobStateOutboxTest, ABusySecondIsFewMessagesAndNoChangeIsLostOrLate) {
  JobStateOutbox outbox;
  std::size_t messages = 0;
  std::size_t changes = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 2 * kCommits; ++i, now += kCommitInterval) {
    if (i < kCommits) {
      outbox.Add(now, {JobId("job-" + std::to_string(i)), JobPhase::kRunning});
    }
    EXPECT_TRUE(outbox.due() == TimePoint::max() ||
                outbox.due() <= now + kMaxDelay);
    if (const auto push = outbox.TakeDue(now)) {
      ++messages;
      for (const JobStateChange& change : push->changes) {
        EXPECT_EQ(change.job, JobId("job-" + std::to_string(changes)));
        ++changes;
      }
    }
  }
  EXPECT_EQ(changes, static_cast<std::size_t>(kCommits));
  EXPECT_LE(messages, kMaxMessagesPerSecond);
}

TEST(JobStateOutboxTest, SendsNothingWithoutChanges) {
  JobStateOutbox outbox;
  EXPECT_EQ(outbox.due(), TimePoint::max());
  EXPECT_FALSE(outbox.TakeDue(kStart));
}

}  // namespace
}  // namespace chivewing
