#pragma once

#include <optional>

#include "base/time.h"
#include "peer/messages.h"

namespace chivewing {

// Gathers the changes of job states that the other hosts are to hear of, so
// that their number, not that of the hosts times that of the commits, decides
// how many messages are sent. No clock, no I/O.
class JobStateOutbox {
 public:
  void Add(TimePoint now, const JobStateChange& change);
  // When the gathered changes are to be sent; TimePoint::max() if there are
  // none.
  TimePoint due() const { return due_; }
  // Removes and returns the changes, in the order in which they were added, if
  // they are due at `now`.
  std::optional<JobStatesPush> TakeDue(TimePoint now);

 private:
  JobStatesPush gathered_;
  TimePoint due_ = TimePoint::max();
};

}  // namespace chivewing
