#include "dispatch/dispatcher.h"

#include <algorithm>

#include "base/log.h"

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kRankEvery{500};
constexpr std::chrono::seconds kLongestSleep{1};
// An earlier dispatcher may start jobs that are newer than the take-over until
// it has met the new fence.
constexpr std::chrono::milliseconds kHandOver{1500};
constexpr int kAskBitsPerFence = 32;

}  // namespace

Dispatcher::Dispatcher(DispatchOptions options, std::uint64_t fence)
    : jobs_(state_),
      runs_(state_, jobs_),
      watch_(state_, jobs_, runs_),
      placer_(state_, runs_, watch_) {
  state_.options = std::move(options);
  state_.fence = fence;
  state_.advice.set_first_ask(fence << kAskBitsPerFence);
}

void Dispatcher::AddJob(TimePoint now, std::chrono::milliseconds wall,
                        JobRecord record,
                        const std::optional<JobProgress>& progress,
                        bool uncertain) {
  if (first_decided_ == TimePoint{}) first_decided_ = now;
  TimePoint until{};
  if (!state_.unsynced_workers.empty()) {
    until = uncertain ? TimePoint::max() : first_decided_ + kHandOver;
  }
  const JobId id = record.id;
  const bool earlier = uncertain || now < first_decided_ + kHandOver;
  jobs_.Add(now, wall, std::move(record), progress, earlier, until);
  runs_.AttachOrphans(id);
}

void Dispatcher::CancelJob(const JobId& job) { jobs_.Cancel(job); }

void Dispatcher::RegisterWorker(TimePoint now,
                                const WorkerRegistration& registration) {
  watch_.Register(now, registration);
}

void Dispatcher::UnregisterWorker(const WorkerId& worker) {
  watch_.Unregister(worker);
}

void Dispatcher::AdoptWorker(TimePoint now,
                             const WorkerRegistration& registration) {
  watch_.AdoptWorker(now, registration);
}

void Dispatcher::EndTakeOver() {
  if (state_.unsynced_workers.empty()) jobs_.ClearUncertainty();
}

void Dispatcher::set_advice_hosts(std::set<HostId> askers) {
  state_.advice.set_advice_hosts(std::move(askers));
  ++state_.capacity_version;
}

void Dispatcher::OnStartResponse(TimePoint now, std::uint64_t run_id,
                                 const CommandResponse& answer) {
  const Run* const run = state_.runs.Find(run_id);
  if (run == nullptr) return;
  const WorkerId worker = run->worker;
  runs_.OnStartResponse(now, run_id, answer);
  watch_.OnCommandResponse(now, worker, answer);
}

void Dispatcher::OnStopAnswer(TimePoint now, std::uint64_t run_id,
                              const WorkerId& worker,
                              const CommandResponse& answer) {
  runs_.OnStopAnswer(now, run_id, answer);
  watch_.OnCommandResponse(now, worker, answer);
}

void Dispatcher::OnPollResponse(TimePoint now, const WorkerId& worker,
                                std::uint64_t poll_id,
                                const PollResponse& answer) {
  watch_.OnPollResponse(now, worker, poll_id, answer);
}

void Dispatcher::OnAdviceResponse(TimePoint now, std::uint64_t ask_id,
                                  const AdviceResponse& answer) {
  const std::optional<PendingAdviceRequest> ask =
      state_.advice.TakeRequest(ask_id);
  if (!ask) return;
  ++state_.capacity_version;
  if (answer.ok) {
    state_.advice.Learn(ask->queue, ask->workers.size(),
                        answer.approved.size());
  } else {
    ++state_.counts.asks_failed;
    state_.advice.OnFailure(now, ask->advice_host);
    LogInfo(LogPart::kPlacer, "advice failed job=" + ask->step.job.value() +
                                  " asker=" + ask->advice_host.value());
  }
  TrackedJob* const job = state_.FindJob(ask->step.job);
  if (job == nullptr) return;
  TrackedStep* const step = job->FindStep(ask->step.occurrence, ask->step.step);
  if (step == nullptr || step->advice.pending_request_id() != ask_id) return;
  step->advice.OnAnswer(ask->sent, ask->workers, answer);
}

void Dispatcher::GiveUpAsks(TimePoint now) {
  for (const std::uint64_t ask : state_.advice.TimedOutRequests(now)) {
    LogWarning(LogPart::kPlacer, "advice not answered in time");
    OnAdviceResponse(now, ask, AdviceResponse{});
  }
}

TimePoint Dispatcher::Decide(TimePoint now, std::chrono::milliseconds wall,
                             DispatchEffects& out) {
  if (first_decided_ == TimePoint{}) first_decided_ = now;
  GiveUpAsks(now);
  watch_.SendDue(now, out);
  runs_.StopOrphans(now);
  runs_.SendDue(now, out);
  const auto next_due = jobs_.OpenDue(wall);
  if (now >= ranked_at_ + kRankEvery) {
    jobs_.Reprioritize(now);
    ranked_at_ = now;
    ++state_.capacity_version;  // tickets and pauses have run out meanwhile
  }
  placer_.PlaceReady(now, out);
  TimePoint next = now + kLongestSleep;
  next = std::min(next, watch_.next_due());
  next = std::min(next, runs_.next_send());
  next = std::min(next, state_.advice.next_overdue().value_or(next));
  if (next_due) next = std::min(next, now + (*next_due - wall));
  if (!state_.ready.empty()) next = std::min(next, ranked_at_ + kRankEvery);
  return next;
}

bool Dispatcher::HasDirty() const {
  if (!state_.dirty.empty() || !state_.removed_workers.empty()) return true;
  return std::any_of(
      state_.workers.begin(), state_.workers.end(), [](const auto& entry) {
        const TrackedWorker& worker = entry.second;
        const bool unsettled = worker.persisted_end != worker.processed_end;
        return unsettled ||
               (worker.registered() && !worker.enrolled && !worker.enrolling);
      });
}

ProgressWriteBatch Dispatcher::TakeBatch(std::size_t most) {
  ProgressWriteBatch batch;
  while (!state_.dirty.empty() && batch.jobs.size() < most) {
    const JobId id = *state_.dirty.begin();
    state_.dirty.erase(state_.dirty.begin());
    if (const TrackedJob* const job = state_.FindJob(id)) {
      batch.jobs.emplace_back(id, job->progress());
    }
  }
  batch.removed_workers = std::move(state_.removed_workers);
  state_.removed_workers.clear();
  for (auto& [id, worker] : state_.workers) {
    batch.removed_workers.erase(id);
    if (worker.registered() && !worker.enrolled && !worker.enrolling &&
        batch.jobs.size() + batch.enrolled.size() < most) {
      worker.enrolling = true;
      batch.enrolled.push_back(worker.registration());
    }
    // Ends whose jobs are still to be written are settled by a later batch.
    const bool all_taken = state_.dirty.empty();
    if (all_taken && worker.persisted_end != worker.processed_end) {
      batch.ends[id] = worker.processed_end;
    }
  }
  return batch;
}

void Dispatcher::OnSaved(TimePoint now, const ProgressWriteBatch& batch) {
  for (const WorkerRegistration& enrolled : batch.enrolled) {
    TrackedWorker* const worker = state_.FindWorker(enrolled.worker);
    if (worker == nullptr) continue;
    worker->enrolled = true;
    worker->enrolling = false;
    ++state_.capacity_version;
  }
  for (const auto& [id, end] : batch.ends) watch_.OnEndsPersisted(now, id, end);
}

void Dispatcher::OnNotSaved(const ProgressWriteBatch& batch) {
  for (const auto& [id, progress] : batch.jobs) state_.dirty.insert(id);
  state_.removed_workers.insert(batch.removed_workers.begin(),
                                batch.removed_workers.end());
  for (const WorkerRegistration& enrolled : batch.enrolled) {
    TrackedWorker* const worker = state_.FindWorker(enrolled.worker);
    if (worker != nullptr) worker->enrolling = false;
  }
}

}  // namespace chivewing
