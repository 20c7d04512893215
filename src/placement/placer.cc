#include "placement/placer.h"

#include "placement/invariants.h"
#include "placement/job_event_handler.h"
#include "placement/placer_state.h"
#include "placement/scheduler.h"
#include "placement/task_event_handler.h"
#include "placement/usage_enforcer.h"
#include "placement/worker_event_handler.h"

namespace chivewing {

Placer::Placer(PlacerOptions options, std::uint64_t epoch)
    : state_(std::make_unique<PlacerState>(options, epoch)),
      scheduler_(std::make_unique<Scheduler>(*state_)),
      job_event_handler_(std::make_unique<JobEventHandler>(*state_)),
      task_event_handler_(std::make_unique<TaskEventHandler>(*state_)),
      worker_event_handler_(
          std::make_unique<WorkerEventHandler>(*state_, *task_event_handler_)),
      usage_(std::make_unique<UsageEnforcer>(*state_)) {}

Placer::~Placer() = default;

void Placer::UpsertWorker(TimePoint now, const WorkerSpec& worker,
                          Effects& effects) {
  worker_event_handler_->Upsert(now, worker, effects);
}

void Placer::RemoveWorker(TimePoint now, const WorkerId& worker,
                          Effects& effects) {
  worker_event_handler_->Remove(now, worker, effects);
}

void Placer::SubmitJob(TimePoint now, const JobSpec& job, Effects& effects) {
  job_event_handler_->Submit(now, job, effects);
}

void Placer::CancelJobs(TimePoint now, std::span<const JobId> jobs,
                        Effects& effects) {
  job_event_handler_->Cancel(now, jobs, effects);
}

void Placer::SetQuota(const OwnerId& owner, const Resources& quota) {
  state_->quotas.SetQuota(owner, quota);
}

void Placer::RemoveQuota(const OwnerId& owner) {
  state_->quotas.RemoveQuota(owner);
}

void Placer::RestoreTask(TimePoint now, const CommittedTask& task,
                         Effects& effects) {
  task_event_handler_->Restore(now, task, effects);
}

void Placer::RestoreDoneTask(TimePoint now, const JobId& job,
                             Effects& effects) {
  task_event_handler_->RestoreDone(now, job, effects);
}

std::optional<BatchId> Placer::Decide(TimePoint now, std::size_t max_starts,
                                      Effects& effects) {
  return scheduler_->Decide(now, max_starts, effects);
}

void Placer::CommitSucceeded(TimePoint now, BatchId batch, Effects& effects) {
  task_event_handler_->CommitSucceeded(now, batch, effects);
}

void Placer::CommitFailed(TimePoint now, BatchId batch, Effects& effects) {
  task_event_handler_->CommitFailed(now, batch, effects);
}

void Placer::OnTaskStarted(TimePoint now, const TaskId& task,
                           Effects& effects) {
  task_event_handler_->Started(now, task, effects);
}

void Placer::TaskStartFailed(TimePoint now, const TaskId& task,
                             StartFailure failure, Effects& effects) {
  task_event_handler_->StartFailed(now, task, failure, effects);
}

void Placer::TaskEnded(TimePoint now, const TaskId& task, TaskEnd end,
                       Effects& effects) {
  task_event_handler_->Ended(now, task, end, effects);
}

void Placer::OnTaskUnreachable(TimePoint now, const TaskId& task,
                               Effects& effects) {
  task_event_handler_->Lost(now, task, effects);
}

void Placer::TaskLeaseExpired(TimePoint now, const TaskId& task,
                              Effects& effects) {
  task_event_handler_->LeaseExpired(now, task, effects);
}

void Placer::ReportUsage(TimePoint now, const TaskId& task,
                         const Resources& used, Effects& effects) {
  usage_->Report(now, task, used, effects);
}

void Placer::OnProbeCompleted(TimePoint now, const WorkerId& worker, bool good,
                              Effects& effects) {
  worker_event_handler_->OnProbeCompleted(now, worker, good, effects);
}

WaitReason Placer::GetWaitReason(TimePoint now, const JobId& job) const {
  const JobIndex index = state_->jobs.Find(job);
  if (index == kNoIndex) return {ResultCode::kNotFound, "no such job"};
  return ExplainWait(*state_, now, state_->jobs.at(index));
}

PlacerSummary Placer::Summary() const {
  PlacerSummary summary;
  const WorkerPool& workers = state_->workers;
  summary.workers = workers.size();
  summary.live_workers = state_->CountLiveWorkers();
  summary.quarantined_workers = state_->health.quarantined();
  summary.jobs = state_->jobs.size();
  for (const auto& [key, lane] : state_->queue.lanes()) {
    summary.waiting_jobs += lane.places.size();
  }
  summary.tasks = state_->tasks.size();
  for (WorkerIndex index = 0; index < workers.end_index(); ++index) {
    if (!workers.Has(index)) continue;
    summary.capacity += workers.at(index).spec.capacity;
    summary.reserved += workers.at(index).reserved;
  }
  return summary;
}

std::vector<WorkerSummary> Placer::Workers() const {
  std::vector<WorkerSummary> views;
  const WorkerPool& workers = state_->workers;
  views.reserve(workers.size());
  for (WorkerIndex index = 0; index < workers.end_index(); ++index) {
    if (!workers.Has(index)) continue;
    const Worker& worker = workers.at(index);
    views.push_back({worker.spec, worker.reserved, worker.tasks.size(),
                     worker.quarantined});
  }
  return views;
}

std::vector<EntryStatistics> Placer::Statistics() const {
  return state_->statistics.All();
}

void Placer::CheckInvariants() const { CheckZoneInvariants(*state_); }

}  // namespace chivewing
