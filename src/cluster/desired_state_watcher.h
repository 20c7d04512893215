#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/time.h"
#include "cluster/desired_state_cache.h"
#include "cluster/platform_interface.h"

namespace chivewing {

// Follows the desired state: reads it once, then waits for changes, and reads
// it anew when the platform no longer has the history. Beside a read that is
// overdue, it sends another one over a new connection. Runs on the thread of
// its owner.
class DesiredStateWatcher {
 public:
  // Runs a function on the owner's thread.
  using Post = std::function<void(std::function<void(TimePoint)>)>;

  // `platform` must outlive the watcher.
  DesiredStateWatcher(const PlatformInterface& platform, Post post)
      : platform_(platform), post_(std::move(post)) {}

  // Sends a read if one is due. Returns when it must be called next.
  TimePoint Tick(TimePoint now);

  const DesiredStateCache& cache() const { return cache_; }
  // How long ago the last response without an error has been handled; none
  // before the first one.
  std::optional<Duration> TimeSinceLastRead(TimePoint now) const;
  // Failed reads since construction.
  std::uint64_t failed_reads() const { return failed_reads_; }

 private:
  // When the newest read counts as overdue.
  TimePoint overdue_at() const;
  void Read(TimePoint now);
  void OnResponse(TimePoint now, std::uint64_t read_number,
                  const DesiredStateUpdate& update);
  void Apply(const DesiredStateUpdate& update);
  void OnReadError(TimePoint now, const DesiredStateUpdate& update);
  void OnReached(TimePoint now);

  const PlatformInterface& platform_;
  Post post_;
  DesiredStateCache cache_;
  bool read_in_flight_ = false;             // the newest read
  std::uint64_t read_number_ = 0;           // of the newest read
  TimePoint read_sent_at_{};                // of the newest read
  std::chrono::milliseconds read_wait_{0};  // long-poll time of that read
  int overdue_reads_ = 0;                   // earlier ones, still in flight
  TimePoint next_read_{};
  std::uint64_t revision_ = 0;  // 0: the next read returns the whole state
  std::optional<TimePoint> last_read_at_{};  // last response without an error
  std::uint64_t consecutive_errors_ = 0;
  std::uint64_t failed_reads_ = 0;
};

}  // namespace chivewing
