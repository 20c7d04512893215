#include "cluster/desired_state_watcher.h"

#include <string>

#include "base/log.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Long-poll time of a read of changes, and the delay after a failed one.
constexpr milliseconds kChangesWait{1000};
constexpr milliseconds kRetryDelay{150};

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
    revision_ = 0;
    return;
  }
  if (!update.ok) {
    next_read_ = now + kRetryDelay;
    return;
  }
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

}  // namespace chivewing
