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

// The present time on both clocks, for hours of the day.
struct ClockReading {
  TimePoint now;
  std::chrono::milliseconds wall_time{0};
};

// The jobs that the catalogue itself asks for: the instances of a service, and
// a singleton. Their ids cannot be submitted by callers.
JobId ServiceJobId(const EntryName& entry);
JobId SingletonJobId(const EntryName& entry);
bool IsCatalogueJob(const JobId& job);

Resources ResourcesOf(const EntryLimits& limits);

// What the placer is to know of a job: of a service or singleton entry, or of a
// submitted job of a batch or gang entry.
JobSpec MakeCatalogueJob(const CatalogueEntry& entry,
                         const ClockReading& clock);
JobSpec MakeSubmittedJob(const CatalogueEntry& entry, const JobRow& row,
                         const ClockReading& clock);

// What a worker is to know of a task of the entry.
StartTaskCommand MakeStartCommand(const TaskId& task,
                                  const CatalogueEntry& entry,
                                  std::chrono::milliseconds run_time);

// Whether leases of the entry's tasks may run out while their zone is cut off.
bool LeasesMayExpire(const CatalogueEntry& entry);

// The next time at which the clock of day shows `hour` minutes after midnight.
TimePoint NextTimeOfDay(std::chrono::minutes time_of_day,
                        const ClockReading& clock);

}  // namespace chivewing
