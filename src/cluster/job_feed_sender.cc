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
// Changes of a first message; building a larger one would delay decisions.
constexpr std::size_t kMaxFirstChanges = 4000;

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

std::optional<JobFeed> JobFeedSender::AddReceiver(
    const HostId& host, std::uint64_t since, const RowCache& cache,
    const JobStatusIndex& status) {
  if (cache.CountChangedSince(since) > kMaxFirstChanges) return std::nullopt;
  JobFeed feed;
  feed.number = last_number_;
  feed.is_first = true;
  feed.through = cache.revision();
  std::set<JobId> jobs;
  cache.ForEachChangedSince(since, [&](const TableRow& row) {
    if (IsFeedRow(row.key)) {
      feed.rows.push_back(row);
    } else if (std::optional<JobId> job = JobOfRow(row.key)) {
      jobs.insert(std::move(*job));
    }
  });
  for (const JobId& job : jobs) feed.changes.push_back(status.StatusOf(job));
  receivers_.insert(host);
  return feed;
}

// A receiver that misses the stop finds a gap in the numbers.
void JobFeedSender::Stop() {
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
  if (receivers_.empty()) return TimePoint::max();
  return std::min(changes_due_, sent_at_ + kMaxSilence);
}

std::optional<JobFeed> JobFeedSender::TakeDue(TimePoint now,
                                              std::uint64_t through,
                                              const JobStatusIndex& status) {
  if (now < due()) return std::nullopt;
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
