#include "placement/worker_health_tracker.h"

#include <algorithm>

namespace chivewing {

void WorkerHealthTracker::RecordFailure(TimePoint now, const WorkerId& worker,
                                        const JobId& job,
                                        std::size_t live_workers,
                                        Effects& effects) {
  JobRecord& job_record = jobs_[job];
  WorkerRecord& record = workers_[worker];
  const bool proven = !job_record.last_success_worker.empty() &&
                      job_record.last_success_worker != worker;
  if (!proven && CountAgainstJob(job_record, worker)) {
    StartBackoff(now, job, job_record, effects);
    record.failed_jobs.erase(job);
    return;
  }
  if (!CountAgainstWorker(record, job, proven)) return;
  if (IsQuarantined(worker) || !CanQuarantineAnother(live_workers)) return;
  quarantined_[worker] = {now, now + options_.probe_interval, 0};
  effects.emplace_back(WorkerQuarantined{
      worker, std::to_string(record.failed_jobs.size()) +
                  " different jobs failed in a row, " +
                  std::to_string(record.failures_of_proven_jobs) +
                  " failures of jobs that succeeded on other workers"});
}

bool WorkerHealthTracker::CountAgainstWorker(WorkerRecord& record,
                                             const JobId& job,
                                             bool proven) const {
  record.failed_jobs.insert(job);
  if (proven) ++record.failures_of_proven_jobs;
  const auto jobs = static_cast<int>(record.failed_jobs.size());
  return jobs >= options_.failures_to_quarantine ||
         record.failures_of_proven_jobs >= options_.failures_to_quarantine;
}

bool WorkerHealthTracker::CountAgainstJob(JobRecord& record,
                                          const WorkerId& worker) const {
  record.failed_workers.insert(worker);
  ++record.failures_in_row;
  const auto failed_on = static_cast<int>(record.failed_workers.size());
  return failed_on >= options_.failed_workers_to_back_off ||
         record.failures_in_row >= options_.failures_to_back_off;
}

void WorkerHealthTracker::RecordSuccess(const WorkerId& worker,
                                        const JobId& job) {
  workers_.erase(worker);
  JobRecord record;
  record.last_success_worker = worker;
  jobs_[job] = record;
}

void WorkerHealthTracker::OnProbeCompleted(TimePoint now,
                                           const WorkerId& worker,
                                           bool succeeded, Effects& effects) {
  const auto found = quarantined_.find(worker);
  if (found == quarantined_.end()) return;
  Quarantine& quarantine = found->second;
  quarantine.next_probe = now + options_.probe_interval;
  quarantine.successful_probes =
      succeeded ? quarantine.successful_probes + 1 : 0;
  if (options_.readmission != ReadmissionPolicy::kConsecutiveProbes) return;
  if (quarantine.successful_probes >= options_.probes_to_readmit)
    Readmit(worker, effects);
}

void WorkerHealthTracker::Tick(TimePoint now, Effects& effects) {
  std::vector<WorkerId> readmitted;
  for (auto& [worker, quarantine] : quarantined_) {
    if (options_.readmission == ReadmissionPolicy::kTimeout) {
      if (now - quarantine.since >= options_.quarantine_timeout) {
        readmitted.push_back(worker);
      }
      continue;
    }
    if (options_.readmission != ReadmissionPolicy::kConsecutiveProbes) continue;
    if (now < quarantine.next_probe) continue;
    quarantine.next_probe = now + options_.probe_interval;
    effects.emplace_back(ProbeWorker{worker});
  }
  for (const WorkerId& worker : readmitted) Readmit(worker, effects);
}

bool WorkerHealthTracker::IsQuarantined(const WorkerId& worker) const {
  return quarantined_.contains(worker);
}

TimePoint WorkerHealthTracker::BackoffUntil(const JobId& job) const {
  const auto record = jobs_.find(job);
  return record == jobs_.end() ? TimePoint() : record->second.backoff_until;
}

void WorkerHealthTracker::StartBackoff(TimePoint now, const JobId& job,
                                       JobRecord& record, Effects& effects) {
  record.backoff = std::clamp(record.backoff * 2, options_.initial_backoff,
                              options_.max_backoff);
  record.backoff_until = now + record.backoff;
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(record.backoff);
  effects.emplace_back(JobBackoffStarted{
      job,
      "failed " + std::to_string(record.failures_in_row) +
          " times in a row on " + std::to_string(record.failed_workers.size()) +
          " workers; retried in " + std::to_string(seconds.count()) + " s"});
}

bool WorkerHealthTracker::CanQuarantineAnother(std::size_t live_workers) const {
  const double limit =
      options_.max_quarantined_fraction * static_cast<double>(live_workers);
  return static_cast<double>(quarantined_.size() + 1) <= limit;
}

void WorkerHealthTracker::Readmit(const WorkerId& worker, Effects& effects) {
  quarantined_.erase(worker);
  workers_.erase(worker);
  effects.emplace_back(WorkerReadmitted{worker});
}

}  // namespace chivewing
