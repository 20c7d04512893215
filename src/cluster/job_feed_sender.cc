#include "cluster/job_feed_sender.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cluster/host_row.h"
#include "dispatch/job_record.h"

namespace chivewing {
namespace {

// How long the first change waits for others.
constexpr std::chrono::milliseconds kGatherTime{50};
// Longest time between two messages, so that receivers can tell a host without
// changes from one that is gone.
constexpr std::chrono::milliseconds kMaxSilence{250};
// A host that lacks more rows than this gets the statuses of all jobs.
constexpr std::size_t kMaxChangedRows = 2000;
// Time between two looks at the requests, and the hosts that get the statuses
// of all jobs each time: more would fill this host's link.
constexpr std::chrono::milliseconds kRequestInterval{50};
constexpr std::size_t kHostsPerSnapshot = 3;
// Jobs whose statuses fit in a message; with more, hosts read the table.
constexpr std::size_t kMaxSnapshotJobs = 12000;

constexpr std::string_view kLeaseRowPrefix = "placer/";

// The job that a row of any kind is about.
std::optional<JobId> JobOfRow(std::string_view key) {
  for (const std::string_view prefix : {kJobRows, kCancelRows, kProgressRows}) {
    if (key.starts_with(prefix)) return JobOfRowKey(key, prefix);
  }
  return std::nullopt;
}

}  // namespace

bool IsFeedRow(std::string_view key) {
  return key.starts_with(kHostRowPrefix) || key.starts_with(kLeaseRowPrefix);
}

JobFeed JobFeedSender::MakeFirst(const RowCache& cache) const {
  JobFeed feed;
  feed.number = last_number_;
  feed.is_first = true;
  feed.through = cache.revision();
  return feed;
}

JobFeed JobFeedSender::ChangesSince(std::uint64_t since, const RowCache& cache,
                                    const JobStatusIndex& status) const {
  JobFeed feed = MakeFirst(cache);
  std::set<JobId> jobs;
  cache.ForEachChangedSince(since, [&](const TableRow& row) {
    if (IsFeedRow(row.key)) {
      feed.rows.push_back(row);
    } else if (std::optional<JobId> job = JobOfRow(row.key)) {
      jobs.insert(std::move(*job));
    }
  });
  for (const JobId& job : jobs) feed.changes.push_back(status.StatusOf(job));
  return feed;
}

JobFeed JobFeedSender::AllStatuses(const RowCache& cache,
                                   const JobStatusIndex& status) const {
  JobFeed feed = MakeFirst(cache);
  for (const std::string_view prefix : {kHostRowPrefix, kLeaseRowPrefix}) {
    cache.ForEach(prefix,
                  [&feed](const TableRow& row) { feed.rows.push_back(row); });
  }
  feed.changes = status.AllStatuses();
  return feed;
}

std::vector<JobFeedSender::First> JobFeedSender::TakeFirsts(
    TimePoint now, const RowCache& cache, const JobStatusIndex& status) {
  std::vector<First> firsts;
  if (requests_.empty() || now < requests_due_) return firsts;
  requests_due_ = now + kRequestInterval;
  std::vector<HostId> lack_much;
  for (const auto& [host, since] : requests_) {
    const std::size_t changed =
        cache.CountChangedSince(since, kMaxChangedRows + 1);
    if (changed <= kMaxChangedRows) {
      firsts.push_back({{host}, ChangesSince(since, cache, status)});
    } else if (lack_much.size() < kHostsPerSnapshot) {
      lack_much.push_back(host);
    }
  }
  if (!lack_much.empty()) {
    if (status.size() <= kMaxSnapshotJobs) {
      firsts.push_back({lack_much, AllStatuses(cache, status)});
    } else {
      for (const HostId& host : lack_much) requests_.erase(host);
    }
  }
  for (const First& first : firsts) {
    for (const HostId& host : first.to) {
      requests_.erase(host);
      receivers_.insert(host);
    }
  }
  return firsts;
}

void JobFeedSender::RemoveReceiver(const HostId& host) {
  receivers_.erase(host);
  requests_.erase(host);
}

// A receiver that misses the stop finds a gap in the numbers.
void JobFeedSender::Stop() {
  requests_.clear();
  if (receivers_.empty()) return;
  receivers_.clear();
  jobs_.clear();
  rows_.clear();
  changes_due_ = TimePoint::max();
  ++last_number_;
}

void JobFeedSender::AddJob(TimePoint now, const JobId& job) {
  if (receivers_.empty()) return;
  jobs_.insert(job);
  OnAdded(now);
}

void JobFeedSender::AddRow(TimePoint now, const TableRow& row) {
  if (receivers_.empty()) return;
  rows_.push_back(row);
  OnAdded(now);
}

void JobFeedSender::OnAdded(TimePoint now) {
  if (changes_due_ == TimePoint::max()) changes_due_ = now + kGatherTime;
}

TimePoint JobFeedSender::due() const {
  const TimePoint first_due =
      requests_.empty() ? TimePoint::max() : requests_due_;
  return std::min(first_due, next_due());
}

TimePoint JobFeedSender::next_due() const {
  if (receivers_.empty()) return TimePoint::max();
  return std::min(changes_due_, sent_at_ + kMaxSilence);
}

std::optional<JobFeed> JobFeedSender::TakeDue(TimePoint now,
                                              std::uint64_t through,
                                              const JobStatusIndex& status) {
  if (now < next_due()) return std::nullopt;
  JobFeed feed;
  feed.number = ++last_number_;
  feed.through = through;
  for (const JobId& job : jobs_) feed.changes.push_back(status.StatusOf(job));
  feed.rows = std::exchange(rows_, {});
  jobs_.clear();
  changes_due_ = TimePoint::max();
  sent_at_ = now;
  return feed;
}

}  // namespace chivewing
