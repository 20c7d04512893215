#include "placement/job_rank.h"

#include <algorithm>

namespace chivewing {
namespace {

double Ratio(Duration part, Duration whole) {
  if (whole <= Duration(0)) return 0;
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

double AgeingPoints(const JobSpec& job, TimePoint now,
                    const PlacerOptions& options) {
  const bool ages =
      job.job_class == JobClass::kBatch || job.job_class == JobClass::kGang;
  if (!ages) return 0;
  const double steps = Ratio(now - job.submitted, options.ageing_step);
  return std::clamp(steps, 0.0, static_cast<double>(options.ageing_limit));
}

double DeadlinePoints(const JobSpec& job, Duration run_time, TimePoint now,
                      const PlacerOptions& options) {
  if (!job.finish_by) return 0;
  const TimePoint latest_start = *job.finish_by - run_time;
  const double left = Ratio(latest_start - now, options.due_window);
  return options.due_points * std::clamp(1.0 - left, 0.0, 1.0);
}

}  // namespace

JobRank ComputeJobRank(const JobSpec& job, Duration expected_run_time,
                       TimePoint now, const PlacerOptions& options) {
  const double points = job.priority + AgeingPoints(job, now, options) +
                        DeadlinePoints(job, expected_run_time, now, options);
  return {!job.urgent, -points, job.submitted};
}

}  // namespace chivewing
