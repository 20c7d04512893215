#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace chivewing {

// Kinds of work of a cluster host's event loop.
enum class LoopWork {
  kCallers,     // callers' requests and the commits of their rows
  kTable,       // rows of the table and the desired state
  kLease,       // renewal of the dispatcher's lease, commits of progress rows
  kWorkers,     // responses of workers
  kPeers,       // messages of other entry hosts
  kDeciding,    // the dispatcher's decisions and the sending of its commands
  kTableTimer,  // timers of the table, the callers and the desired state
};
inline constexpr std::size_t kLoopWorkKinds = 7;

std::string_view Name(LoopWork work);

// Time that the event loop has spent, by kind of work, and its backlog.
// Measures wall time on the loop's thread: on a host whose processor is shared
// it includes the time that the thread waits for the processor.
class LoopMonitor {
 public:
  // Totals since construction, for metrics.
  struct Totals {
    std::array<Duration, kLoopWorkKinds> busy{};
    std::uint64_t events = 0;
    std::uint64_t iterations = 0;
  };

  // The loop has spent `spent` on work of this kind.
  void Add(LoopWork work, Duration spent);
  // The loop has handled `events` events in `spent`; `waiting` events have
  // arrived meanwhile.
  void AddIteration(Duration spent, std::size_t events, std::size_t waiting);
  // One line about the interval since the last summary, at most one a second.
  std::optional<std::string> TakeSummary(TimePoint now);

  const Totals& totals() const { return totals_; }

 private:
  Totals totals_;
  Totals reported_;
  TimePoint reported_at_{};
  Duration longest_iteration_{0};
  std::size_t most_waiting_ = 0;
};

}  // namespace chivewing
