#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/placer_options.h"

namespace chivewing {

// Judges workers and jobs by failures. The worker is at fault when different
// jobs fail on it in a row, or when it fails jobs that ran well elsewhere: it
// is put in quarantine. The job is at fault when it fails in a row on different
// workers: it is held back, and no longer counts against workers.
class WorkerHealthTracker {
 public:
  explicit WorkerHealthTracker(HealthOptions options) : options_(options) {}

  // A task of `job` failed on `worker`.
  void RecordFailure(TimePoint now, const WorkerId& worker, const JobId& job,
                     std::size_t live_workers, Effects& effects);
  // A task of `job` ran well on `worker`.
  void RecordSuccess(const WorkerId& worker, const JobId& job);
  void OnProbeCompleted(TimePoint now, const WorkerId& worker, bool succeeded,
                        Effects& effects);
  // Asks for probes that are due, and readmits by time under kTimeout.
  void Tick(TimePoint now, Effects& effects);

  bool IsQuarantined(const WorkerId& worker) const;
  // Until when the job is held back; the epoch of the clock when it is not.
  TimePoint BackoffUntil(const JobId& job) const;

  void ForgetWorker(const WorkerId& worker) {
    workers_.erase(worker);
    quarantined_.erase(worker);
  }
  void ForgetJob(const JobId& job) { jobs_.erase(job); }

  std::size_t quarantined_count() const { return quarantined_.size(); }

 private:
  struct WorkerRecord {
    std::unordered_set<JobId> failed_jobs;
    // Failures in a row of jobs that ran well on another worker.
    int failures_of_proven_jobs = 0;
  };
  struct JobRecord {
    std::unordered_set<WorkerId> failed_workers;
    int failures_in_row = 0;
    // Worker of the last success; empty when there was none.
    WorkerId last_success_worker;
    Duration backoff{0};
    TimePoint backoff_until;
  };
  struct Quarantine {
    TimePoint since;
    TimePoint next_probe;
    int successful_probes = 0;
  };

  // Blames the worker; whether it is bad enough for quarantine.
  bool CountAgainstWorker(WorkerRecord& record, const JobId& job,
                          bool proven) const;
  // Blames the job; whether it must be held back.
  bool CountAgainstJob(JobRecord& record, const WorkerId& worker) const;
  void StartBackoff(TimePoint now, const JobId& job, JobRecord& record,
                    Effects& effects);
  bool CanQuarantineAnother(std::size_t live_workers) const;
  void Readmit(const WorkerId& worker, Effects& effects);

  HealthOptions options_;
  std::unordered_map<WorkerId, WorkerRecord> workers_;
  std::unordered_map<JobId, JobRecord> jobs_;
  std::unordered_map<WorkerId, Quarantine> quarantined_;
};

}  // namespace chivewing
