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

// Attributes task failures to workers or jobs. A worker is quarantined when
// different jobs fail on it in a row, or when jobs fail on it that succeeded on
// another worker. A job enters backoff when it fails in a row, on different
// workers or often enough on any; that failure does not count against the
// worker. Emits effects; performs no I/O.
class WorkerHealthTracker {
 public:
  explicit WorkerHealthTracker(HealthOptions options) : options_(options) {}

  // A task of `job` failed on `worker`.
  void RecordFailure(TimePoint now, const WorkerId& worker, const JobId& job,
                     std::size_t live_workers, Effects& effects);
  // A task of `job` succeeded on `worker`.
  void RecordSuccess(const WorkerId& worker, const JobId& job);
  void OnProbeCompleted(TimePoint now, const WorkerId& worker, bool succeeded,
                        Effects& effects);
  // Emits due ProbeWorker effects, and readmits workers after the quarantine
  // timeout under ReadmissionPolicy::kTimeout.
  void Tick(TimePoint now, Effects& effects);

  bool IsQuarantined(const WorkerId& worker) const;
  // End of the job's backoff; the epoch of the clock when it has had none.
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
    // Failures in a row of jobs that succeeded on another worker.
    int failures_of_proven_jobs = 0;
  };
  struct JobRecord {
    std::unordered_set<WorkerId> failed_workers;
    int failures_in_row = 0;
    // The worker of the last success; empty when there was none.
    WorkerId last_success_worker;
    Duration backoff{0};
    TimePoint backoff_until;
  };
  struct Quarantine {
    TimePoint since;
    TimePoint next_probe;
    int successful_probes = 0;
  };

  // Counts a failure against the worker; returns whether it should be
  // quarantined.
  bool CountAgainstWorker(WorkerRecord& record, const JobId& job,
                          bool proven) const;
  // Counts a failure against the job; returns whether it must enter backoff.
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
