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

// What jobs must have in common to wait in the same lane: if the first of them
// cannot be placed now, none can.
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
  // Set for services and singletons, each of which has a lane of its own.
  JobId job;

  friend bool operator<(const EquivalenceClassKey& a,
                        const EquivalenceClassKey& b);
};

// Place of a job in its lane: by time, then by arrival.
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

// Jobs that wait alike.
struct EquivalenceClass {
  std::set<WaitingJobPosition> positions;
  // WorkerPool::growth() when the first job last found no room: until it rises
  // there is no need to look again.
  std::uint64_t no_fit_resources_version = 0;
  // WorkerPool::fleet_version() at that time: if it has changed, the job may
  // have become one that fits no worker.
  std::uint64_t no_fit_worker_set_version = 0;
};

// All waiting jobs, grouped in lanes so that a decision costs time by the
// number of kinds of jobs and not by the number of jobs.
class WaitingJobQueue {
 public:
  using EquivalenceClasses = std::map<EquivalenceClassKey, EquivalenceClass>;

  // The lane of a job.
  static EquivalenceClassKey KeyOf(const JobSpec& job);

  void Add(const EquivalenceClassKey& key, const WaitingJobPosition& position);
  // Removes a place; the lane stays, if need be empty.
  void Remove(const EquivalenceClassKey& key,
              const WaitingJobPosition& position);

  void RemoveEmptyClasses();

  EquivalenceClasses& classes() { return classes_; }
  const EquivalenceClasses& classes() const { return classes_; }

 private:
  EquivalenceClasses classes_;
};

}  // namespace chivewing
