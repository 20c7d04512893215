#include "cluster/table_watcher.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"
#include "cluster/host_row.h"

namespace chivewing {
namespace {

// Long-poll time of a read of changes.
constexpr std::chrono::milliseconds kChangesWait{500};
// A response later than this after the long poll means that the table is
// unreachable; a slow table responds sooner.
constexpr std::chrono::milliseconds kUnreachableTimeout{600};
constexpr std::chrono::milliseconds kInitialRetryDelay{100};
constexpr int kMaxRetryDoublings =
    1;  // kept short: callers are rejected meanwhile
// A feed that has been silent for so long does not count any more.
constexpr std::chrono::milliseconds kFeedSilenceLimit{1000};
// How long a host without rows waits for a feed.
constexpr std::chrono::milliseconds kFeedWait{3000};
// Prefix of the rows that say which host dispatches.
constexpr const char* kLeasePrefix = "placer";

}  // namespace

TimePoint TableWatcher::Tick(TimePoint now) {
  if (read_in_flight_) return TimePoint::max();
  if (now < next_read_) return next_read_;
  if (!ready_ && !knows_hosts_) {
    ReadHosts();
  } else if (!ready_ && !needs_all_rows_ && catch_up_waiters_.empty() &&
             now < feed_wait_until_) {
    waits_for_feed_ = true;
    return feed_wait_until_;
  } else if (MustReadAll()) {
    waits_for_feed_ = false;
    ReadAll();
  } else if (IsFed(now)) {
    Probe();
  } else {
    ReadChanges();
  }
  read_sent_at_ = now;
  return TimePoint::max();
}

bool TableWatcher::MustReadAll() const {
  if (!ready_) return true;
  return !has_all_rows_ && (needs_all_rows_ || !catch_up_waiters_.empty());
}

void TableWatcher::set_needs_all_rows(bool needed) {
  needs_all_rows_ = needed;
  if (needed) fed_until_ = TimePoint{};
}

void TableWatcher::OnFed(TimePoint now, std::uint64_t revision) {
  if (!TakesFeed() || needs_all_rows_ || !catch_up_waiters_.empty()) return;
  if (revision < least_fed_revision_) return;
  // Its rows may be older than what the feed tells, and would count as all.
  if (read_in_flight_ && reads_all_rows_) return;
  has_all_rows_ = false;
  available_since_ = TimePoint{};
  cache_.set_revision(revision);
  fed_until_ = now + kFeedSilenceLimit;
  if (ready_) return;
  ready_ = true;
  waits_for_feed_ = false;
  next_read_ = now;
}

bool TableWatcher::IsTableUnreachable(TimePoint now) const {
  if (last_response_at_ == TimePoint{}) return false;
  const bool read_overdue =
      read_in_flight_ && now > read_sent_at_ + read_wait_ + kUnreachableTimeout;
  return read_overdue ||
         (consecutive_errors_ > 0 &&
          now > last_response_at_ + kChangesWait + kUnreachableTimeout);
}

std::optional<TimePoint> TableWatcher::TableAvailableSince(
    TimePoint now) const {
  const bool reads_changes = !IsFed(now) && available_since_ != TimePoint{};
  if (IsTableUnreachable(now) || !reads_changes) return std::nullopt;
  return available_since_;
}

void TableWatcher::Apply(TimePoint now, const TableRow& row) {
  if (cache_.Apply(row)) on_row_(now, row);
}

void TableWatcher::CatchUp(TimePoint now, std::uint64_t revision,
                           std::function<void(TimePoint)> done) {
  catch_up_waiters_.push_back({now, revision, std::move(done)});
  fed_until_ = TimePoint{};
  // The read in flight may wait for a change that never comes.
  if (ready_) DropRead();
  next_read_ = now;
}

void TableWatcher::OnFeedSilent(TimePoint now) {
  fed_until_ = TimePoint{};
  if (!ready_) return;
  DropRead();
  must_not_wait_ = true;
  next_read_ = now;
}

void TableWatcher::DropRead() {
  read_in_flight_ = false;
  ++read_number_;
}

void TableWatcher::ReadHosts() {
  read_in_flight_ = true;
  reads_all_rows_ = false;
  const std::uint64_t read_number = ++read_number_;
  table_.read_prefix(
      std::string(kHostRowPrefix),
      [this, read_number](const ReadResponse& hosts) {
        table_.read_prefix(kLeasePrefix, [this, read_number,
                                          hosts](const ReadResponse& lease) {
          post_([this, read_number, hosts, lease](TimePoint now) {
            if (read_number == read_number_) OnHostsResponse(now, hosts, lease);
          });
        });
      });
}

void TableWatcher::OnHostsResponse(TimePoint now, const ReadResponse& hosts,
                                   const ReadResponse& lease) {
  read_in_flight_ = false;
  next_read_ = now;
  if (!hosts.ok || !lease.ok) {
    OnReadError(now);
    return;
  }
  OnReached(now, lease.clock);
  knows_hosts_ = true;
  feed_wait_until_ = now + kFeedWait;
  for (const TableRow& row : hosts.rows) Apply(now, row);
  for (const TableRow& row : lease.rows) Apply(now, row);
}

void TableWatcher::ReadAll() {
  read_in_flight_ = true;
  reads_all_rows_ = true;
  read_wait_ = kChangesWait;
  const std::uint64_t read_number = ++read_number_;
  table_.read_all([this, read_number](const ChangesResponse& response) {
    post_([this, read_number, response](TimePoint now) {
      if (read_number != read_number_) return;
      has_all_rows_ |= response.ok && response.revision >= cache_.revision();
      if (response.ok) all_rows_read_at_ = now;
      OnReadResponse(now, response, true);
    });
  });
}

void TableWatcher::ReadChanges() {
  read_in_flight_ = true;
  reads_all_rows_ = false;
  const std::uint64_t read_number = ++read_number_;
  // After an error the first response shows that the table is reachable again,
  // so it must not wait for a change.
  const bool no_wait =
      !catch_up_waiters_.empty() || consecutive_errors_ > 0 || must_not_wait_;
  must_not_wait_ = false;
  read_wait_ = no_wait ? std::chrono::milliseconds(0) : kChangesWait;
  table_.changes(cache_.revision(), read_wait_,
                 [this, read_number](const ChangesResponse& response) {
                   post_([this, read_number, response](TimePoint then) {
                     if (read_number == read_number_)
                       OnReadResponse(then, response, !response.more);
                   });
                 });
}

void TableWatcher::Probe() {
  read_in_flight_ = true;
  reads_all_rows_ = false;
  read_wait_ = std::chrono::milliseconds(0);
  const std::uint64_t read_number = ++read_number_;
  table_.read(probe_key_, [this, read_number](const ReadResponse& response) {
    post_([this, read_number, response](TimePoint now) {
      if (read_number == read_number_) OnProbeResponse(now, response);
    });
  });
}

void TableWatcher::OnProbeResponse(TimePoint now,
                                   const ReadResponse& response) {
  read_in_flight_ = false;
  if (!response.ok) {
    OnReadError(now);
    return;
  }
  OnReached(now, response.clock);
  next_read_ = std::max(now, read_sent_at_ + min_poll_interval_);
  // From one probe to the next, a feed reaches what the first one has seen.
  least_fed_revision_ = probed_revision_;
  probed_revision_ = response.revision;
  if (cache_.revision() >= least_fed_revision_) return;
  LogWarning(LogPart::kPlatform,
             "the feed of job states is behind the table; reading the table "
             "revision=" +
                 std::to_string(cache_.revision()) +
                 " table=" + std::to_string(least_fed_revision_));
  fed_until_ = TimePoint{};
  next_read_ = now;
}

void TableWatcher::OnReached(
    TimePoint now, const std::optional<std::chrono::milliseconds>& clock) {
  if (consecutive_errors_ > 0) {
    LogInfo(LogPart::kPlatform, "table responds again after faults=" +
                                    std::to_string(consecutive_errors_));
  }
  consecutive_errors_ = 0;
  last_response_at_ = now;
  cache_.set_last_response_time(now);
  if (clock) clock_.OnReading(now, *clock);
}

void TableWatcher::OnReadResponse(TimePoint now,
                                  const ChangesResponse& response,
                                  bool complete) {
  read_in_flight_ = false;
  if (response.history_lost) {
    LogWarning(LogPart::kPlatform, "table no longer has the changes since=" +
                                       std::to_string(cache_.revision()) +
                                       ", reading all rows");
    ready_ = false;
    feed_wait_until_ = now + kFeedWait;
    next_read_ = now;
    return;
  }
  if (!response.ok) {
    OnReadError(now);
    return;
  }
  const bool was_away = consecutive_errors_ > 0;
  OnReached(now, response.clock);
  if (was_away || available_since_ == TimePoint{}) available_since_ = now;
  ready_ = true;
  for (const TableRow& row : response.rows) Apply(now, row);
  cache_.set_revision(response.revision);
  if (!complete) {
    next_read_ = now;
    return;
  }
  next_read_ = std::max(now, read_sent_at_ + min_poll_interval_);
  EndCatchUps(now);
}

void TableWatcher::EndCatchUps(TimePoint now) {
  const std::vector<CatchUpWaiter> waiting =
      std::exchange(catch_up_waiters_, {});
  for (const CatchUpWaiter& each : waiting) {
    if (read_sent_at_ < each.since) {
      catch_up_waiters_.push_back(each);
      next_read_ = now;
      continue;
    }
    if (cache_.revision() >= each.revision) {
      each.done(now);
      continue;
    }
    LogWarning(
        LogPart::kPlatform,
        "the table has answered with an older state than it has written; "
        "reading all rows revision=" +
            std::to_string(cache_.revision()) +
            " written=" + std::to_string(each.revision));
    catch_up_waiters_.push_back(each);
    has_all_rows_ = false;
    next_read_ = now + kInitialRetryDelay;
  }
}

void TableWatcher::OnReadError(TimePoint now) {
  if (consecutive_errors_++ == 0) {
    LogWarning(LogPart::kPlatform,
               "reading changes from the table failed; retrying");
  }
  const int doublings = std::min(consecutive_errors_ - 1, kMaxRetryDoublings);
  next_read_ = now + kInitialRetryDelay * (1 << doublings);
}

}  // namespace chivewing
