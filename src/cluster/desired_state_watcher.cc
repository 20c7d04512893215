#include "cluster/desired_state_watcher.h"

#include <string>

#include "base/log.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Long-poll time of a read of changes, and the delay after a failed one.
constexpr milliseconds kChangesWait{1000};
constexpr milliseconds kRetryDelay{150};

std::string MillisecondsText(std::optional<Duration> time) {
  if (!time) return "none";
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(*time).count());
}

}  // namespace

TimePoint DesiredStateWatcher::Tick(TimePoint now) {
  if (read_in_flight_) return TimePoint::max();
  if (now < next_read_) return next_read_;
  read_in_flight_ = true;
  platform_.watch_desired_state(
      revision_, kChangesWait, [this](const DesiredStateUpdate& update) {
        post_([this, update](TimePoint then) { OnUpdate(then, update); });
      });
  return TimePoint::max();
}

void DesiredStateWatcher::OnUpdate(TimePoint now,
                                   const DesiredStateUpdate& update) {
  read_in_flight_ = false;
  next_read_ = now;
  if (update.history_lost) {
    LogWarning(
        LogPart::kCatalogue,
        "the store no longer has the changes of the desired state since=" +
            std::to_string(revision_) + ", reading the whole state");
    revision_ = 0;
    return;
  }
  if (!update.ok) {
    OnReadError(now, update);
    return;
  }
  OnReached(now);
  revision_ = update.revision;
  if (!update.state) {
    if (!cache_.ready()) next_read_ = now + kRetryDelay;
    return;
  }
  const std::uint64_t version = update.state->version;
  if (cache_.Update(*update.state)) {
    LogInfo(LogPart::kCatalogue,
            "desired state applied version=" + std::to_string(version));
  }
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
