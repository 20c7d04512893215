#pragma once

#include <tuple>

#include "base/time.h"
#include "placement/job_spec.h"
#include "placement/placer_options.h"

namespace chivewing {

// Order in which waiting jobs are tried: the least first.
struct JobRank {
  bool not_urgent = true;
  // Points of priority, negated.
  double negated_points = 0;
  TimePoint submitted;

  friend bool operator<(const JobRank& a, const JobRank& b) {
    return std::tie(a.not_urgent, a.negated_points, a.submitted) <
           std::tie(b.not_urgent, b.negated_points, b.submitted);
  }
};

// Works out the order of a job. Batch work and gangs gain points while they
// wait, and as the latest time at which they can start comes near.
JobRank ComputeJobRank(const JobSpec& job, Duration expected_run_time,
                       TimePoint now, const PlacerOptions& options);

}  // namespace chivewing
