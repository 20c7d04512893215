#pragma once

#include <optional>

#include "base/id.h"
#include "base/time.h"
#include "placement/resources.h"

namespace chivewing {

enum class JobClass {
  kService,    // keeps `tasks` instances; each is replaced when it ends
  kSingleton,  // one instance, never two at the same time
  kBatch,      // finite tasks that start independently of each other
  kGang,       // tasks that start all together or not at all
};

// A job as submitted, with the limits of its catalogue entry.
struct JobSpec {
  JobId id;
  EntryName entry;
  OwnerId owner;
  JobClass job_class = JobClass::kBatch;
  int tasks = 1;
  Resources per_task;
  // A higher value is more important.
  int priority = 0;
  // May preempt checkpointable tasks of lower priority.
  bool urgent = false;
  // Declared run time of one task; 0 when unknown.
  Duration run_time{0};
  std::optional<TimePoint> finish_by;
  // Spread the instances over racks, so that the loss of a rack affects a
  // bounded number of them.
  bool spread = false;
  bool checkpointable = false;
  TimePoint submitted;
};

}  // namespace chivewing
