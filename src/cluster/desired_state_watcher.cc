#include "cluster/desired_state_watcher.h"

#include <algorithm>
#include <string>

#include "base/log.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Long-poll time of a read of changes, and the delay after a failed one.
constexpr milliseconds kChangesWait{1000};
constexpr milliseconds kRetryDelay{150};
// A read without a response so long after its long-poll time is overdue. A slow
// store responds sooner.
constexpr milliseconds kOverdueAfter{500};
constexpr int kMaxOverdueReads = 1;

std::string MillisecondsText(std::optional<Duration> time) {
  if (!time) return "none";
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(*time).count());
}

}  // namespace

TimePoint DesiredStateWatcher::Tick(TimePoint now) {
  if (!read_in_flight_) {
    if (now < next_read_) return next_read_;
    Read(now);
    return overdue_at();
  }
  if (overdue_reads_ >= kMaxOverdueReads) return TimePoint::max();
  if (now < overdue_at()) return overdue_at();
  LogWarning(LogPart::kCatalogue,
             "a read of the desired state is overdue; reading it over a new "
             "connection version=" +
                 std::to_string(cache_.state().version));
  ++overdue_reads_;
  Read(now);
  return TimePoint::max();
}

TimePoint DesiredStateWatcher::overdue_at() const {
  return read_sent_at_ + read_wait_ + kOverdueAfter;
}

// While a read is overdue, other open connections are not trusted either.
void DesiredStateWatcher::Read(TimePoint now) {
  read_in_flight_ = true;
  read_sent_at_ = now;
  read_wait_ = revision_ == 0 ? milliseconds(0) : kChangesWait;
  const std::uint64_t read_number = ++read_number_;
  platform_.watch_desired_state(
      {revision_, read_wait_, overdue_reads_ > 0},
      [this, read_number](const DesiredStateUpdate& update) {
        post_([this, read_number, update](TimePoint now) {
          OnResponse(now, read_number, update);
        });
      });
}

void DesiredStateWatcher::OnResponse(TimePoint now, std::uint64_t read_number,
                                     const DesiredStateUpdate& update) {
  if (read_number == read_number_) {
    read_in_flight_ = false;
    next_read_ = now;
  } else {
    --overdue_reads_;
  }
  if (update.history_lost) {
    LogWarning(LogPart::kCatalogue,
               "the store no longer has the changes of the desired state "
               "since=" +
                   std::to_string(revision_) + ", reading the whole state");
    revision_ = 0;
    return;
  }
  if (!update.ok) {
    OnReadError(now, update);
    return;
  }
  OnReached(now);
  Apply(update);
  if (!cache_.ready()) next_read_ = now + kRetryDelay;
}

void DesiredStateWatcher::Apply(const DesiredStateUpdate& update) {
  // A read that was overdue may end after a later one.
  revision_ = std::max(revision_, update.revision);
  if (!update.state || !cache_.Update(*update.state)) return;
  LogInfo(LogPart::kCatalogue, "desired state applied version=" +
                                   std::to_string(update.state->version));
}

void DesiredStateWatcher::OnReadError(TimePoint now,
                                      const DesiredStateUpdate& update) {
  next_read_ = now + kRetryDelay;
  ++failed_reads_;
  if (consecutive_errors_++ > 0) return;
  LogWarning(LogPart::kCatalogue,
             "reading the desired state failed; retrying version=" +
                 std::to_string(cache_.state().version) + " " +
                 update.error_detail);
}

void DesiredStateWatcher::OnReached(TimePoint now) {
  if (consecutive_errors_ > 0) {
    LogInfo(LogPart::kCatalogue,
            "desired state can be read again after faults=" +
                std::to_string(consecutive_errors_) +
                " ms=" + MillisecondsText(TimeSinceLastRead(now)));
  }
  consecutive_errors_ = 0;
  last_read_at_ = now;
}

std::optional<Duration> DesiredStateWatcher::TimeSinceLastRead(
    TimePoint now) const {
  if (!last_read_at_) return std::nullopt;
  return now - *last_read_at_;
}

}  // namespace chivewing
