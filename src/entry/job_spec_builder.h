#pragma once

#include <chrono>
#include <optional>

#include "base/id.h"
#include "base/time.h"
#include "catalogue/catalogue_entry.h"
#include "entry/job_row.h"
#include "placement/job_spec.h"
#include "placement/resources.h"
#include "workers/worker_request.h"

namespace chivewing {

// The current time on the monotonic clock and on the wall clock (milliseconds
// since the Unix epoch, UTC), to convert times of day.
struct ClockReading {
  TimePoint now;
  std::chrono::milliseconds wall_time{0};
};

// Ids of the jobs that the catalogue itself defines: the instances of a service
// entry, and the task of a singleton entry. Callers cannot submit such ids:
// they contain a colon.
JobId ServiceJobId(const EntryName& entry);
JobId SingletonJobId(const EntryName& entry);
bool IsCatalogueJob(const JobId& job);

Resources ResourcesOf(const EntryLimits& limits);

// Builds the placer's job spec for a service or singleton entry, or for a
// submitted job of a batch or gang entry.
JobSpec MakeCatalogueJob(const CatalogueEntry& entry,
                         const ClockReading& clock);
JobSpec MakeSubmittedJob(const CatalogueEntry& entry, const JobRow& row,
                         const ClockReading& clock);

// Builds the command that starts a task of the entry on a worker.
StartTaskCommand MakeStartCommand(const TaskId& task,
                                  const CatalogueEntry& entry,
                                  std::chrono::milliseconds run_time);

// True if the leases of the entry's tasks may expire while their zone is
// partitioned from the platform.
bool LeasesMayExpire(const CatalogueEntry& entry);

// The next time at which the wall clock (UTC) shows `time_of_day`, in minutes
// after midnight.
TimePoint NextTimeOfDay(std::chrono::minutes time_of_day,
                        const ClockReading& clock);

}  // namespace chivewing
