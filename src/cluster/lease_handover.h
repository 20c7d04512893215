#pragma once

#include <cstdint>

#include "base/time.h"

namespace chivewing {

// Decides when a dispatching host hands the lease over to a stronger one. A
// weak host takes the lease when the stronger ones do not reach the table, and
// would keep it when they do again, though its loop has no time left for the
// table's responses. Reads no clock; the caller measures.
class LeaseHandover {
 public:
  // A turn of the loop has ended at `end` and has taken `busy`.
  void OnTurn(TimePoint end, Duration busy);

  // True if the lease should be handed over. To be called once a turn:
  // `dispatching` tells whether this host dispatches, and
  // `strongest_peer_milli` the processor time of the strongest connected host,
  // in thousandths of a core like `own_milli`, which is 0 if it is not known.
  bool IsDue(TimePoint now, bool dispatching, std::int64_t own_milli,
             std::int64_t strongest_peer_milli);

  // True if the loop has been busy for most of the last whole intervals.
  bool busy() const { return busy_intervals_ >= kBusyIntervals; }

 private:
  static constexpr int kBusyIntervals = 2;

  void EndInterval(TimePoint end);

  TimePoint interval_start_{};
  Duration busy_in_interval_{0};
  int busy_intervals_ = 0;  // in a row, up to the last whole one
  // Since when this host dispatches and a stronger one is connected.
  TimePoint stronger_since_{};
};

}  // namespace chivewing
