#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "dispatch/job_record.h"

namespace chivewing {

// The time of day on which the entry hosts agree. Each notes its own, beside
// the table's steady clock, in the rows of the jobs that it accepts; the median
// counts, carried on by the table's clock. So a few hosts whose time of day is
// wrong or jumps, this one among them, do not move it. Does no I/O; has no
// clock.
class SharedTimeOfDay {
 public:
  // A host has accepted a job.
  void OnJob(const JobRecord& record);
  // The time of day since 1970, at `table_clock` if that is known. `own`, this
  // host's, counts while too few others are known.
  std::chrono::milliseconds At(
      std::optional<std::chrono::milliseconds> table_clock,
      std::chrono::milliseconds own) const;

 private:
  // Time of day less the table's clock, newest last.
  std::deque<std::chrono::milliseconds> offsets_;
  std::chrono::milliseconds median_{0};
};

}  // namespace chivewing
