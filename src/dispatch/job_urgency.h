#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"
#include "dispatch/tracked_job.h"

namespace chivewing {

// What the end of a job is still worth to its caller.
//
// Answers the load of bursts and of backlogs after an outage, when there is
// less room than work. By the order of their objectives alone, the jobs that
// have waited longest would go first although they are late in any case, and
// each of them would make one more job late that could have been in time.
enum class JobUrgency {
  kInTime,   // its objective can still be met
  kLate,     // it misses its objective even if it starts at once
  kUseless,  // its end is of no use to its caller any more
};

// Time from the acceptance of a job to the end that its queue promises.
std::chrono::milliseconds JobObjective(const JobRecord& record);
// Time after which the end of a job is of no use, from its acceptance.
std::chrono::milliseconds JobUsefulTime(const JobRecord& record);

// Least time that the steps of an occurrence that are not done still take, if
// all their tasks start as soon as they may.
std::chrono::milliseconds LeastTimeLeft(const TrackedJob& job,
                                        std::size_t occurrence);

JobUrgency UrgencyAt(TimePoint now, const TrackedJob& job,
                     std::size_t occurrence);
// When the urgency drops next if no step gets done until then;
// TimePoint::max() if it is as low as it gets.
TimePoint NextUrgencyChange(TimePoint now, const TrackedJob& job,
                            std::size_t occurrence);

}  // namespace chivewing
