// The feed of job states from the dispatching host to the others: what is
// gathered, who follows it, and what a lost message does.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/job_feed_receiver.h"
#include "cluster/job_feed_sender.h"
#include "cluster/job_status_index.h"
#include "dispatch/job_record.h"
#include "store/row_cache.h"

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
// A large deployment late in the day, and the hosts that get all statuses at a
// time.
constexpr int kJobs = 5000;
constexpr int kHosts = 90;
constexpr std::size_t kAtATime = 3;

const HostId kSender("sender");
const HostId kReceiver("receiver");
constexpr std::uint64_t kIncarnation = 7;

JobId Job(int number) { return JobId("job-" + std::to_string(number)); }

TableRow JobRow(int number, std::uint64_t version) {
  JobRecord record;
  record.id = Job(number);
  record.queue.name = "queue";
  record.spec.steps.resize(1);
  return {JobRecordKey(record.id), EncodeJobRecord(record), version, "w"};
}

TableRow ProgressRow(int number, JobPhase state, std::uint64_t version) {
  JobProgress progress;
  progress.state = state;
  return {ProgressRowKey(Job(number)), EncodeJobProgress(progress), version,
          "w"};
}

TableRow CancelRow(int number, std::uint64_t version) {
  return {CancelRowKey(Job(number)), "{}", version, "w"};
}

// The dispatching host's rows and its side of the feed.
struct Dispatching {
  void Apply(TimePoint now, const TableRow& row) {
    if (!cache.Apply(row)) return;
    if (const auto job = status.OnRow(row)) sender.AddJob(now, *job);
    if (IsFeedRow(row.key)) sender.AddRow(now, row);
  }
  // The first message to a host that requests the feed.
  std::optional<JobFeed> Add(const HostId& host, std::uint64_t since,
                             TimePoint now = kStart) {
    sender.OnRequest(host, since);
    const auto firsts = sender.TakeFirsts(now, cache, status);
    if (firsts.empty()) return std::nullopt;
    EXPECT_EQ(firsts.size(), 1U);
    EXPECT_EQ(firsts.front().to, std::vector<HostId>{host});
    return firsts.front().feed;
  }
  std::optional<JobFeed> TakeDue(TimePoint now) {
    return sender.TakeDue(now, cache.revision(), status);
  }

  RowCache cache;
  JobStatusIndex status;
  JobFeedSender sender;
};

TEST(JobFeedSenderTest, ABusySecondIsFewMessagesAndNoChangeIsLostOrLate) {
  Dispatching host;
  ASSERT_TRUE(host.Add(kReceiver, 0));
  std::size_t messages = 0;
  std::map<JobId, int> changes;
  TimePoint now = kStart;
  host.TakeDue(now);
  for (int i = 0; i < 2 * kCommits; ++i, now += kCommitInterval) {
    if (i < kCommits) {
      host.Apply(now, JobRow(i, static_cast<std::uint64_t>(i) + 1));
      EXPECT_LE(host.sender.due(), now + kMaxDelay);
    }
    if (const auto feed = host.TakeDue(now)) {
      if (i < kCommits) ++messages;
      for (const JobStatusChange& change : feed->changes) {
        EXPECT_EQ(change.queue, "queue");
        ++changes[change.job];
      }
    }
  }
  EXPECT_EQ(changes.size(), static_cast<std::size_t>(kCommits));
  for (const auto& [job, count] : changes) EXPECT_EQ(count, 1);
  EXPECT_LE(messages, kMaxMessagesPerSecond);
}

TEST(JobFeedSenderTest, GathersAndSendsNothingWithoutReceivers) {
  Dispatching host;
  host.Apply(kStart, JobRow(1, 1));
  EXPECT_EQ(host.sender.due(), TimePoint::max());
  EXPECT_FALSE(host.TakeDue(kStart + milliseconds(1000)));
  ASSERT_TRUE(host.Add(kReceiver, 0));
  host.sender.RemoveReceiver(kReceiver);
  host.Apply(kStart, JobRow(2, 2));
  EXPECT_EQ(host.sender.due(), TimePoint::max());
}

TEST(JobFeedSenderTest, SpeaksAlsoWithoutChanges) {
  Dispatching host;
  ASSERT_TRUE(host.Add(kReceiver, 0));
  ASSERT_TRUE(host.TakeDue(kStart));
  host.cache.set_revision(9);
  EXPECT_LE(host.sender.due(), kStart + milliseconds(300));
  const auto feed = host.TakeDue(kStart + milliseconds(300));
  ASSERT_TRUE(feed);
  EXPECT_TRUE(feed->changes.empty());
  EXPECT_EQ(feed->through, 9U);
}

TEST(JobFeedSenderTest, TheFirstMessageHoldsWhatHasChangedSince) {
  Dispatching host;
  host.Apply(kStart, JobRow(1, 1));
  host.Apply(kStart, JobRow(2, 2));
  host.Apply(kStart, CancelRow(2, 3));
  host.Apply(kStart, ProgressRow(1, JobPhase::kRunning, 4));
  host.Apply(kStart, {"host/h2", "{}", 5, "w"});
  host.Apply(kStart, {"worker/i-1", "{}", 6, "w"});
  host.cache.set_revision(6);
  const auto all = host.Add(kReceiver, 0);
  ASSERT_TRUE(all);
  EXPECT_TRUE(all->is_first);
  EXPECT_EQ(all->through, 6U);
  EXPECT_EQ(all->changes.size(), 2U);
  ASSERT_EQ(all->rows.size(), 1U);
  EXPECT_EQ(all->rows.front().key, "host/h2");
  const auto later = host.Add(kReceiver, 3, kStart + milliseconds(50));
  ASSERT_EQ(later->changes.size(), 1U);
  EXPECT_EQ(later->changes.front().job, Job(1));
  EXPECT_EQ(later->changes.front().state, JobPhase::kRunning);
}

// All hosts of a large deployment start at once, late in the day.
TEST(JobFeedSenderTest, HostsThatLackMuchGetAllStatusesAFewAtATime) {
  Dispatching host;
  for (int i = 0; i < kJobs; ++i) {
    host.Apply(kStart, JobRow(i, static_cast<std::uint64_t>(i) + 1));
  }
  host.Apply(kStart, {"host/h2", "{}", kJobs + 1, "w"});
  for (int i = 0; i < kHosts; ++i) {
    host.sender.OnRequest(HostId("h" + std::to_string(i)), 0);
  }
  std::set<HostId> served;
  TimePoint now = kStart;
  for (; now < kStart + milliseconds(2000); now += milliseconds(10)) {
    const auto firsts = host.sender.TakeFirsts(now, host.cache, host.status);
    ASSERT_LE(firsts.size(), 1U);
    if (firsts.empty()) continue;
    EXPECT_LE(firsts.front().to.size(), kAtATime);
    EXPECT_EQ(firsts.front().feed.changes.size(),
              static_cast<std::size_t>(kJobs));
    EXPECT_EQ(firsts.front().feed.rows.size(), 1U);
    served.insert(firsts.front().to.begin(), firsts.front().to.end());
  }
  EXPECT_EQ(served.size(), static_cast<std::size_t>(kHosts));
  EXPECT_EQ(host.sender.receivers(), served);
}

// Each turn of the loop counted what each of the waiting hosts lacks.
TEST(JobFeedSenderTest, WaitingRequestsAreLookedAtAFewTimesASecond) {
  Dispatching host;
  host.sender.OnRequest(HostId("a"), 0);
  EXPECT_EQ(host.sender.due(), TimePoint{});
  ASSERT_EQ(host.sender.TakeFirsts(kStart, host.cache, host.status).size(), 1U);
  ASSERT_TRUE(host.TakeDue(kStart));
  host.sender.OnRequest(HostId("b"), 0);
  const TimePoint due = host.sender.due();
  EXPECT_GE(due, kStart + milliseconds(50));
  EXPECT_LE(due, kStart + kMaxDelay);
  EXPECT_TRUE(
      host.sender.TakeFirsts(due - milliseconds(1), host.cache, host.status)
          .empty());
  EXPECT_EQ(host.sender.TakeFirsts(due, host.cache, host.status).size(), 1U);
}

TEST(JobFeedSenderTest, AHostThatLacksLittleDoesNotWaitForOthers) {
  Dispatching host;
  for (int i = 0; i < 5000; ++i) {
    host.Apply(kStart, CancelRow(i, static_cast<std::uint64_t>(i) + 1));
  }
  ASSERT_TRUE(host.Add(HostId("lacks-all"), 0));
  EXPECT_FALSE(host.Add(HostId("lacks-all-too"), 0));
  host.sender.RemoveReceiver(HostId("lacks-all-too"));
  const auto little = host.Add(kReceiver, 4990, kStart + milliseconds(50));
  ASSERT_TRUE(little);
  EXPECT_EQ(little->changes.size(), 10U);
}

JobFeed Next(std::uint64_t number) {
  JobFeed feed;
  feed.number = number;
  return feed;
}
JobFeed First(std::uint64_t number) {
  JobFeed feed = Next(number);
  feed.is_first = true;
  return feed;
}

class JobFeedReceiverTest : public testing::Test {
 protected:
  JobFeedReceiverTest() {
    receiver_.set_sender(kSender);
    EXPECT_TRUE(receiver_.TakeRequest(kStart));
  }
  bool OnFeed(const JobFeed& feed, TimePoint now = kStart) {
    return receiver_.OnFeed(now, kSender, kIncarnation, feed);
  }
  JobFeedReceiver receiver_;
};

TEST_F(JobFeedReceiverTest, FollowsFromTheFirstMessageOn) {
  EXPECT_FALSE(OnFeed(Next(4)));
  EXPECT_TRUE(OnFeed(First(4)));
  EXPECT_TRUE(OnFeed(Next(5)));
  EXPECT_TRUE(OnFeed(Next(6)));
  EXPECT_FALSE(receiver_.TakeRequest(kStart + milliseconds(500)));
}

TEST_F(JobFeedReceiverTest, ALostMessageEndsItUntilItIsRequestedAnew) {
  EXPECT_TRUE(OnFeed(First(4)));
  EXPECT_FALSE(OnFeed(Next(6)));
  EXPECT_FALSE(OnFeed(Next(7)));
  EXPECT_TRUE(receiver_.TakeRequest(kStart + milliseconds(1000)));
  EXPECT_TRUE(OnFeed(First(7)));
  EXPECT_TRUE(OnFeed(Next(8)));
}

TEST_F(JobFeedReceiverTest, AnotherProcessOfTheSenderIsAnotherFeed) {
  EXPECT_TRUE(OnFeed(First(4)));
  EXPECT_FALSE(receiver_.OnFeed(kStart, kSender, kIncarnation + 1, Next(5)));
}

TEST_F(JobFeedReceiverTest, OnlyTheDispatchingHostFeeds) {
  EXPECT_FALSE(receiver_.OnFeed(kStart, HostId("other"), 1, First(1)));
  EXPECT_TRUE(OnFeed(First(4)));
  receiver_.set_sender(HostId("other"));
  EXPECT_FALSE(OnFeed(Next(5)));
  EXPECT_FALSE(receiver_.OnFeed(kStart, HostId("other"), 1, First(1)))
      << "not requested";
}

TEST_F(JobFeedReceiverTest, SaysOnceThatTheFeedIsSilent) {
  EXPECT_EQ(receiver_.silent_at(), TimePoint::max());
  EXPECT_TRUE(OnFeed(First(4)));
  const TimePoint silent_at = receiver_.silent_at();
  EXPECT_LE(silent_at, kStart + milliseconds(1000));
  EXPECT_FALSE(receiver_.TakeSilence(silent_at - milliseconds(1)));
  EXPECT_TRUE(receiver_.TakeSilence(silent_at));
  EXPECT_FALSE(receiver_.TakeSilence(silent_at));
  EXPECT_FALSE(OnFeed(Next(5), silent_at)) << "has to be requested anew";
}

TEST_F(JobFeedReceiverTest, RequestsASilentFeedAnewButNotAllTheTime) {
  EXPECT_TRUE(OnFeed(First(4)));
  EXPECT_FALSE(receiver_.TakeRequest(kStart + milliseconds(500)));
  EXPECT_TRUE(receiver_.TakeSilence(receiver_.silent_at()));
  TimePoint now = kStart;
  int requests = 0;
  for (; now < kStart + milliseconds(10000); now += milliseconds(10)) {
    if (receiver_.TakeRequest(now)) ++requests;
  }
  EXPECT_GE(requests, 8);
  EXPECT_LE(requests, 10);
}

// Rows that become known in any order and ahead of the reads, messages that are
// lost with their connections, and a receiver that meanwhile reads the table
// itself: whenever it counts as fed up to a revision, it knows each state that
// the table had then.
RC_GTEST_PROP(JobFeedProperty, AFedHostKnowsAllUpToItsRevision, ()) {
  constexpr int jobs = 6;
  Dispatching host;
  std::vector<TableRow> table;  // by version
  std::size_t ahead = 0;        // rows up to here may be known ahead
  JobStatusIndex known;
  std::uint64_t known_revision = 0;  // of the receiver
  JobFeedReceiver receiver;
  receiver.set_sender(kSender);
  TimePoint now = kStart;
  const auto receive = [&](const JobFeed& feed) {
    for (const JobStatusChange& change : feed.changes) known.OnChange(change);
    if (!receiver.OnFeed(now, kSender, kIncarnation, feed)) return;
    known_revision = std::max(known_revision, feed.through);
    std::map<JobId, JobStatusIndex> expected;
    for (const TableRow& row : table) {
      if (row.version > known_revision) break;
      const std::size_t slash = row.key.find('/');
      expected[JobId(row.key.substr(slash + 1))].OnRow(row);
    }
    for (const auto& [job, index] : expected) {
      const JobStatusChange want = index.StatusOf(job);
      const JobStatusChange have = known.StatusOf(job);
      RC_ASSERT(want.queue.empty() || have.queue == want.queue);
      RC_ASSERT(!want.cancelled || have.cancelled);
      RC_ASSERT(have.state >= want.state);
    }
  };
  for (int step = 0; step < 200; ++step) {
    now += milliseconds(*rc::gen::inRange(1, 120));
    const std::uint64_t version = table.size() + 1;
    const int job = *rc::gen::inRange(0, jobs);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        table.push_back(JobRow(job, version));
        break;
      case 1:
        table.push_back(ProgressRow(job,
                                    *rc::gen::arbitrary<bool>()
                                        ? JobPhase::kRunning
                                        : JobPhase::kCompleted,
                                    version));
        break;
      case 2:
        table.push_back(CancelRow(job, version));
        break;
      case 3:  // a row that is pushed ahead of the dispatching host's read
        if (table.empty()) break;
        ahead = *rc::gen::inRange<std::size_t>(0, table.size());
        host.Apply(now, table[ahead]);
        break;
      case 4:  // the dispatching host reads the table
        for (const TableRow& row : table) host.Apply(now, row);
        host.cache.set_revision(table.size());
        break;
      case 5:  // the receiver reads the table
        for (const TableRow& row : table) known.OnRow(row);
        known_revision = table.size();
        break;
      case 6:
        if (!receiver.TakeRequest(now)) break;
        if (const auto first = host.Add(kReceiver, known_revision, now)) {
          if (*rc::gen::inRange(0, 4) > 0) receive(*first);
        }
        break;
      default: {
        const auto feed = host.TakeDue(now);
        const bool lost = *rc::gen::inRange(0, 6) == 0;
        if (feed && !lost) receive(*feed);
        if (lost && *rc::gen::arbitrary<bool>()) host.sender.Stop();
      }
    }
  }
}

}  // namespace
}  // namespace chivewing
