#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "placement/indices.h"
#include "placement/job_spec.h"
#include "placement/resources.h"

namespace chivewing {

// What jobs must have in common to wait in the same equivalence class: if the
// first of them cannot be placed now, none can.
struct EquivalenceClassKey {
  OwnerId owner;
  EntryName entry;
  JobClass job_class = JobClass::kBatch;
  // Tasks of a gang; 0 for other classes, whose tasks are placed one by one.
  int gang_tasks = 0;
  Resources per_task;
  int priority = 0;
  bool urgent = false;
  bool has_finish_by = false;
  // Set for services, singletons and spread jobs, each of which has a class of
  // its own; otherwise empty.
  JobId job;

  friend bool operator<(const EquivalenceClassKey& a,
                        const EquivalenceClassKey& b);
};

// Position of a job in its equivalence class: by time, then by order of
// queueing. The time is the latest start time, or the submission time of a job
// without a deadline.
struct WaitingJobPosition {
  TimePoint queue_time;
  std::uint64_t sequence = 0;
  JobIndex job = kNoIndex;

  friend bool operator<(const WaitingJobPosition& a,
                        const WaitingJobPosition& b) {
    return std::tie(a.queue_time, a.sequence) <
           std::tie(b.queue_time, b.sequence);
  }
};

// Waiting jobs with the same key.
struct EquivalenceClass {
  std::set<WaitingJobPosition> positions;
  // WorkerPool::free_resources_version() when the first job last found no
  // worker, 0 when it has not; there is no need to try again until it rises.
  std::uint64_t no_fit_resources_version = 0;
  // WorkerPool::worker_set_version() at that time; if it has changed, the job
  // may no longer fit on any worker even if it were empty.
  std::uint64_t no_fit_worker_set_version = 0;
};

// All waiting jobs, grouped in equivalence classes so that the cost of a
// decision depends on the number of classes and not on the number of jobs. No
// I/O.
class WaitingJobQueue {
 public:
  using EquivalenceClasses = std::map<EquivalenceClassKey, EquivalenceClass>;

  // The equivalence class of a job.
  static EquivalenceClassKey KeyOf(const JobSpec& job);

  void Add(const EquivalenceClassKey& key, const WaitingJobPosition& position);
  // Removes a position; the class is kept even if it becomes empty.
  void Remove(const EquivalenceClassKey& key,
              const WaitingJobPosition& position);

  void RemoveEmptyClasses();

  EquivalenceClasses& classes() { return classes_; }
  const EquivalenceClasses& classes() const { return classes_; }

 private:
  EquivalenceClasses classes_;
};

}  // namespace chivewing
