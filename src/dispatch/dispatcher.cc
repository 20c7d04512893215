#include "dispatch/dispatcher.h"

#include <algorithm>

#include "base/log.h"

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kWakeInterval{500};
constexpr std::chrono::seconds kMaxSleep{1};
// Until it meets the new fence, an earlier dispatcher may be starting tasks:
// jobs that are added meanwhile keep clear of its run numbers.
constexpr std::chrono::milliseconds kHandoverWindow{1500};
constexpr int kRequestIdBitsPerFence = 32;
// A batch ends with the job whose progress reaches so many bytes. Encoded, it
// stays below the 1 MB that the platform takes at once.
constexpr std::size_t kFullBatchBytes = 400'000;

}  // namespace

Dispatcher::Dispatcher(DispatchOptions options, std::uint64_t fence)
    : jobs_(state_),
      runs_(state_, jobs_),
      workers_(state_, jobs_, runs_),
      scheduler_(state_, jobs_, runs_),
      wait_reporter_(state_) {
  state_.options = std::move(options);
  state_.fence = fence;
  state_.advice.set_request_id_base(fence << kRequestIdBitsPerFence);
}

void Dispatcher::AddJob(TimePoint now, TimePoint accepted_at, JobRecord record,
                        const std::optional<JobProgress>& progress,
                        bool uncertain) {
  if (started_at_ == TimePoint{}) started_at_ = now;
  const bool wait_for_workers = uncertain && !state_.unsynced_workers.empty();
  const JobId id = record.id;
  const bool may_have_runs = uncertain || now < started_at_ + kHandoverWindow;
  jobs_.Add(accepted_at, std::move(record), progress, may_have_runs,
            wait_for_workers);
  runs_.AttachOrphans(id);
}

void Dispatcher::CancelJob(const JobId& job) { jobs_.Cancel(job); }

void Dispatcher::RegisterWorker(TimePoint now,
                                const WorkerRegistration& registration) {
  workers_.Register(now, registration);
}

void Dispatcher::UnregisterWorker(const WorkerId& worker) {
  workers_.Unregister(worker);
}

void Dispatcher::AdoptWorker(TimePoint now, TimePoint predecessor_ended_by,
                             const WorkerRegistration& registration) {
  workers_.AdoptWorker(now, predecessor_ended_by, registration);
}

void Dispatcher::EndTakeOver() {
  if (state_.unsynced_workers.empty()) jobs_.ClearUncertainty();
}

void Dispatcher::set_advice_hosts(std::set<HostId> hosts) {
  state_.advice.set_advice_hosts(std::move(hosts));
}

void Dispatcher::OnStartResponse(TimePoint now, std::uint64_t run_id,
                                 const CommandResponse& response) {
  const Run* const run = state_.runs.Find(run_id);
  if (run == nullptr) return;
  const WorkerId worker = run->worker;
  runs_.OnStartResponse(now, run_id, response);
  workers_.OnCommandResponse(now, worker, response);
}

void Dispatcher::OnStopAnswer(TimePoint now, std::uint64_t run_id,
                              const WorkerId& worker,
                              const CommandResponse& response) {
  runs_.OnStopResponse(now, run_id, response);
  workers_.OnCommandResponse(now, worker, response);
}

void Dispatcher::OnPollResponse(TimePoint now, const WorkerId& worker,
                                std::uint64_t poll_id,
                                const PollResponse& response) {
  workers_.OnPollResponse(now, worker, poll_id, response);
}

void Dispatcher::OnAdviceResponse(TimePoint now, std::uint64_t request_id,
                                  const AdviceResponse& response) {
  const std::optional<PendingAdviceRequest> request =
      state_.advice.TakeRequest(request_id);
  if (!request) return;
  if (response.ok) {
    state_.advice.RecordApprovals(
        request->queue, request->workers.size(),
        std::min(response.approved.size(), request->workers.size()));
  } else {
    ++state_.counts.asks_failed;
    state_.advice.OnFailure(now, request->advice_host);
    LogRequest(LogPart::kPlacer, request->step.job.value(), [&] {
      return "advice request failed; its host gets none for a while job=" +
             request->step.job.value() +
             " asker=" + request->advice_host.value();
    });
  }
  TrackedJob* const job = state_.FindJob(request->step.job);
  if (job == nullptr) return;
  TrackedStep* const step =
      job->FindStep(request->step.occurrence, request->step.step);
  if (step == nullptr || step->advice.pending_request_id() != request_id)
    return;
  step->advice.OnResponse(request->sent, request->workers, response);
  state_.ready.OnApproved(request->step, response.approved);
  state_.ready.Wake(request->step);
}

void Dispatcher::TimeOutAdviceRequests(TimePoint now) {
  for (const std::uint64_t request : state_.advice.TimedOutRequests(now)) {
    LogWarning(LogPart::kPlacer,
               "advice request timed out; treating it as failed");
    OnAdviceResponse(now, request, AdviceResponse{});
  }
}

TimePoint Dispatcher::Decide(TimePoint now, std::chrono::milliseconds wall,
                             DispatchEffects& out) {
  if (started_at_ == TimePoint{}) started_at_ = now;
  TimeOutAdviceRequests(now);
  state_.refused_rows.Update(now);
  workers_.SendDue(now, out);
  runs_.StopOrphans(now);
  runs_.SendDue(now, out);
  const auto next_due = jobs_.OpenDueOccurrences(wall);
  jobs_.Reprioritize(now);
  if (now >= steps_woken_at_ + kWakeInterval) {
    steps_woken_at_ = now;
    state_.ready.WakeAll();  // tickets and backoffs may have expired
  }
  scheduler_.ScheduleReadySteps(now, out);
  wait_reporter_.Report(now);
  TimePoint next = now + kMaxSleep;
  next = std::min(next, workers_.next_due());
  next = std::min(next, state_.runs.next_command());
  next = std::min(next, state_.advice.next_timeout().value_or(next));
  if (next_due) next = std::min(next, now + (*next_due - wall));
  if (!state_.ready.empty())
    next = std::min(next, steps_woken_at_ + kWakeInterval);
  return next;
}

bool Dispatcher::HasDirty() const {
  return !state_.dirty.empty() || !state_.removed_workers.empty() ||
         !state_.workers_without_row.empty() ||
         !state_.workers_with_ends.empty() || state_.refused_rows.HasDue();
}

ProgressWriteBatch Dispatcher::TakeBatch(std::size_t max_rows) {
  ProgressWriteBatch batch;
  if (max_rows > 0 && TakeRefusedRow(batch)) {
    TakeEnds(batch);
    return batch;
  }
  const std::size_t limit = state_.refused_rows.BatchLimit(max_rows);
  TakeWorkerRows(limit, batch);
  std::size_t bytes = 0;
  while (!state_.dirty.empty() && batch.row_count() < limit &&
         bytes < kFullBatchBytes) {
    const JobId id = *state_.dirty.TakeOldest();
    // Its newest progress is written once it is tried again.
    if (state_.refused_rows.IsSetAside(id)) continue;
    bytes += TakeJobRow(id, batch);
  }
  TakeEnds(batch);
  return batch;
}

std::size_t Dispatcher::TakeJobRow(const JobId& id, ProgressWriteBatch& batch) {
  const TrackedJob* const job = state_.FindJob(id);
  if (job == nullptr) return 0;
  batch.jobs.emplace_back(id, job->progress());
  if (job->suspicions > 0) batch.suspicions[id] = job->suspicions;
  return std::min(EstimateProgressBytes(batch.jobs.back().second),
                  kMaxProgressRowBytes);
}

bool Dispatcher::TakeRefusedRow(ProgressWriteBatch& batch) {
  while (const auto id = state_.refused_rows.TakeDueWorker()) {
    TrackedWorker* const worker = state_.FindWorker(*id);
    if (worker == nullptr || !worker->NeedsRow()) continue;
    TakeWorkerRow(*worker, batch);
    return true;
  }
  while (const auto id = state_.refused_rows.TakeDueJob()) {
    state_.dirty.Remove(*id);
    TakeJobRow(*id, batch);
    if (!batch.empty()) return true;
  }
  return false;
}

// Ends must not be marked as persisted while a job that was dirty when they
// were processed is left to write; a later batch does that. A row that is set
// aside keeps only the ends of its own job back, and those behind them.
void Dispatcher::TakeEnds(ProgressWriteBatch& batch) {
  for (const WorkerId& id : state_.workers_with_ends) {
    ++state_.counts.workers_attended;
    const TrackedWorker& worker = state_.workers.at(id);
    for (const UnpersistedEnd& end : worker.unpersisted_ends) {
      if (!state_.dirty.HasTaken(end.change)) break;
      if (state_.refused_rows.IsSetAside(end.job)) break;
      batch.ends[id] = end.number;
    }
    batch.incarnations[id] = worker.incarnation_start;
  }
}

// Before the rows of jobs, of which there may always be more: a new worker gets
// no tasks before its row is written.
void Dispatcher::TakeWorkerRows(std::size_t max_rows,
                                ProgressWriteBatch& batch) {
  const std::set<WorkerId> without_row = state_.workers_without_row;
  for (const WorkerId& id : without_row) {
    if (batch.row_count() >= max_rows) return;
    TakeWorkerRow(*state_.FindWorker(id), batch);
  }
  std::erase_if(state_.removed_workers, [this](const WorkerId& id) {
    return state_.workers.contains(id);
  });
  while (!state_.removed_workers.empty() && batch.row_count() < max_rows) {
    batch.removed_workers.insert(
        state_.removed_workers.extract(state_.removed_workers.begin()));
  }
}

void Dispatcher::TakeWorkerRow(TrackedWorker& worker,
                               ProgressWriteBatch& batch) {
  worker.enrolling = true;
  state_.UpdateTableWork(worker);
  batch.enrolled.push_back(worker.registration());
}

void Dispatcher::OnSaved(TimePoint now, const ProgressWriteBatch& batch) {
  if (!batch.empty()) state_.refused_rows.OnBatchSaved();
  for (const WorkerRegistration& enrolled : batch.enrolled) {
    TrackedWorker* const worker = state_.FindWorker(enrolled.worker);
    if (worker == nullptr) continue;
    worker->enrolled = true;
    worker->enrolling = false;
    state_.UpdateWorker(*worker);
    state_.UpdateTableWork(*worker);
  }
  for (const auto& [id, end] : batch.ends)
    workers_.OnEndsPersisted(now, id, batch.incarnations.at(id), end);
  for (const auto& [id, suspicions] : batch.suspicions)
    jobs_.OnSuspicionsSaved(id, suspicions);
}

void Dispatcher::OnNotSaved(const ProgressWriteBatch& batch) {
  std::vector<JobId> unwritten;
  unwritten.reserve(batch.jobs.size());
  for (const auto& [id, progress] : batch.jobs) unwritten.push_back(id);
  state_.dirty.Restore(unwritten);
  state_.removed_workers.insert(batch.removed_workers.begin(),
                                batch.removed_workers.end());
  for (const WorkerRegistration& enrolled : batch.enrolled) {
    TrackedWorker* const worker = state_.FindWorker(enrolled.worker);
    if (worker == nullptr) continue;
    worker->enrolling = false;
    state_.UpdateTableWork(*worker);
  }
}

void Dispatcher::OnRefused(TimePoint now, const ProgressWriteBatch& batch) {
  if (batch.row_count() == 1) {
    SetAside(now, batch);
    return;
  }
  state_.refused_rows.OnBatchRefused(batch.row_count());
  OnNotSaved(batch);
}

// Nothing that the row would have told has happened for others: a worker
// without a row gets no tasks, a job whose progress cannot be written starts
// none and its ends stay with their workers.
void Dispatcher::SetAside(TimePoint now, const ProgressWriteBatch& batch) {
  std::string row;
  for (const auto& [id, progress] : batch.jobs) {
    state_.dirty.Remove(id);
    state_.refused_rows.SetAside(now, id);
    row = "progress of job=" + id.value();
  }
  for (const WorkerRegistration& each : batch.enrolled) {
    state_.refused_rows.SetAside(now, each.worker);
    row = "worker=" + each.worker.value();
    if (TrackedWorker* const worker = state_.FindWorker(each.worker)) {
      worker->enrolling = false;
      state_.UpdateTableWork(*worker);
    }
  }
  // The rows of these are left behind: a successor looks for their tasks.
  for (const WorkerId& id : batch.removed_workers) {
    row = "removal of worker=" + id.value();
  }
  LogError(
      LogPart::kPlacer,
      "the table refuses a row; it is set aside and all others go on: " + row +
          " rows_set_aside=" + std::to_string(state_.refused_rows.size()));
}

}  // namespace chivewing
