#pragma once

#include <tuple>

#include "base/time.h"
#include "placement/job_spec.h"
#include "placement/placer_options.h"

namespace chivewing {

// Rank by which waiting jobs are tried; the smallest first.
struct JobRank {
  bool not_urgent = true;
  // Priority points including ageing and deadline, negated.
  double negated_points = 0;
  TimePoint submitted;

  friend bool operator<(const JobRank& a, const JobRank& b) {
    return std::tie(a.not_urgent, a.negated_points, a.submitted) <
           std::tie(b.not_urgent, b.negated_points, b.submitted);
  }
};

// Computes the rank of a job. Batch jobs and gangs gain points while they wait;
// jobs with a deadline gain points as their latest start time approaches.
JobRank ComputeJobRank(const JobSpec& job, Duration expected_run_time,
                       TimePoint now, const PlacerOptions& options);

}  // namespace chivewing
