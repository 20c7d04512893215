#include "dispatch/worker_manager.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "base/log.h"
#include "dispatch/drain_policy.h"

namespace chivewing {
namespace {

// A worker on which this many runs in a row have failed gets no new tasks for
// the backoff.
constexpr int kFailuresBeforeBackoff = 3;
constexpr std::chrono::seconds kFailureBackoff{4};
// How often the runs of a draining worker are looked at.
constexpr std::chrono::milliseconds kDrainCheckInterval{100};
// A lease has expired once its expiry lies in the past.
constexpr Duration kExpiryStep{1};
// How often a worker is looked at whose lease has expired but whose runs may
// not be given up yet, or which is still registered.
constexpr std::chrono::milliseconds kExpiredCheckInterval{100};
// Ends of unknown jobs are not taken note of for so long: the row of the job
// may be on its way.
constexpr std::chrono::seconds kUnknownJobTimeout{3};
// How soon a worker that has reported such ends is polled again.
constexpr std::chrono::milliseconds kUnknownJobPollDelay{100};
// How soon a worker is polled again that has never answered: there may be none.
constexpr std::chrono::milliseconds kUnansweredPollDelay{500};
// How soon a worker is polled again that has started while another host may be
// dispatching.
constexpr std::chrono::milliseconds kUnmetIncarnationPollDelay{300};

// True if `later` is a later incarnation of the worker under another id. Its
// registration is no proof of that, since anybody may have written it: it must
// have answered under its id, at the address of the worker and after it.
bool IsSuccessor(const TrackedWorker& worker, const TrackedWorker& later) {
  const WorkerRegistration& registration = worker.registration();
  const auto start =
      std::max(worker.incarnation_start, registration.incarnation_start);
  return later.registration().worker != registration.worker &&
         worker.HasAnswered() &&
         later.answered_address == worker.answered_address &&
         later.last_response_at > worker.last_response_at &&
         start.count() > 0 && start < later.incarnation_start;
}

// Workers need not list their ends in the order of their numbers.
std::vector<const EndedRunReport*> InOrderOfNumbers(
    const std::vector<EndedRunReport>& ends) {
  std::vector<const EndedRunReport*> out;
  out.reserve(ends.size());
  for (const EndedRunReport& end : ends) out.push_back(&end);
  std::sort(out.begin(), out.end(),
            [](const EndedRunReport* a, const EndedRunReport* b) {
              return a->number < b->number;
            });
  return out;
}

}  // namespace

void WorkerManager::Register(TimePoint now,
                             const WorkerRegistration& registration) {
  TrackedWorker* const known = state_.FindWorker(registration.worker);
  if (known == nullptr) {
    TrackedWorker& worker =
        state_.workers.emplace(registration.worker, TrackedWorker(registration))
            .first->second;
    worker.next_poll = now;
    worker.UpdateLeaveTime(now);
    state_.UpdateTableWork(worker);
    UpdateAttention(now, worker);
    return;
  }
  const WorkerRegistration& before = known->registration();
  const bool moved = before.address != registration.address ||
                     before.incarnation_start != registration.incarnation_start;
  known->set_registration(registration);
  known->UpdateLeaveTime(now);
  state_.UpdateWorker(*known);
  state_.UpdateTableWork(*known);
  if (moved) known->next_poll = now;
  UpdateAttention(now, *known);
}

void WorkerManager::EndPredecessors(TimePoint now, const TrackedWorker& later) {
  if (!state_.IsExclusive(now)) return;
  for (auto& [id, worker] : state_.workers) {
    if (!worker.IsUnresponsive() || !IsSuccessor(worker, later)) continue;
    OnIncarnationEnded(now, worker);
    UpdateAttention(now, worker);
  }
}

bool WorkerManager::HasSuccessor(const TrackedWorker& worker) const {
  return std::any_of(
      state_.workers.begin(), state_.workers.end(),
      [&](const auto& entry) { return IsSuccessor(worker, entry.second); });
}

void WorkerManager::Unregister(const WorkerId& id) {
  if (TrackedWorker* const worker = state_.FindWorker(id)) {
    worker->set_registered(false);
    state_.UpdateWorker(*worker);
    state_.UpdateTableWork(*worker);
  }
}

void WorkerManager::AdoptWorker(TimePoint now, TimePoint predecessor_ended_by,
                                const WorkerRegistration& registration) {
  const auto found = state_.workers.try_emplace(registration.worker,
                                                TrackedWorker(registration));
  TrackedWorker& worker = found.first->second;
  if (found.second) {
    worker.set_registered(false);
    worker.next_poll = now;
  }
  worker.enrolled = true;
  worker.answered_address = registration.address;
  // All dispatchers of a cluster grant leases of the same length, and none
  // beyond that length after its own lease.
  worker.set_foreign_lease_expiry(
      std::min(now, predecessor_ended_by) +
      state_.options.LongestOnSlowClock(state_.options.lease));
  state_.unsynced_workers.insert(registration.worker);
  state_.UpdateTableWork(worker);
  UpdateAttention(now, worker);
}

void WorkerManager::Poll(TimePoint now, TrackedWorker& worker,
                         DispatchEffects& out) {
  PollWorker poll;
  poll.poll_id = ++state_.last_poll;
  poll.worker = worker.registration().worker;
  poll.address = worker.registration().address;
  poll.fence = state_.fence;
  // An unresponsive worker may have restarted. A new incarnation numbers its
  // ends from the start, and the worker must not discard ends that have not
  // been read.
  const bool same_incarnation = worker.synced && !worker.IsUnresponsive();
  poll.persisted_end = same_incarnation ? worker.persisted_end : 0;
  poll.incarnation_start = worker.incarnation_start;
  worker.told_end = std::max(worker.told_end, poll.persisted_end);
  // An unresponsive worker gets no lease: otherwise its lease would never
  // expire and its tasks could not be restarted.
  const std::chrono::milliseconds lease = state_.GrantableLease(now);
  if (!worker.IsUnresponsive() && lease.count() > 0) {
    poll.deadline = worker.GrantLease(now, lease);
  }
  const bool may_wait = same_incarnation && !worker.HasUnpersistedEnds();
  poll.wait =
      may_wait ? state_.options.poll_wait : std::chrono::milliseconds(0);
  poll.fresh_connection = worker.IsUnresponsive();
  worker.pending_poll = poll.poll_id;
  worker.poll_sent = now;
  worker.polled_address = poll.address;
  ++state_.counts.polls;
  out.emplace_back(std::move(poll));
}

void WorkerManager::SendDue(TimePoint now, DispatchEffects& out) {
  while (!attention_.empty() && attention_.begin()->first <= now) {
    TrackedWorker& worker = *state_.FindWorker(attention_.begin()->second);
    ++state_.counts.workers_attended;
    EndRunsAfterLeaseExpiry(now, worker);
    StopRunsBeforeLeaving(now, worker);
    if (worker.pending_poll == 0 && now >= worker.next_poll) {
      Poll(now, worker, out);
    }
    if (!RemoveIfGone(worker)) UpdateAttention(now, worker);
  }
}

void WorkerManager::StopRunsBeforeLeaving(TimePoint now,
                                          const TrackedWorker& worker) {
  if (!worker.leaves_at()) return;
  const WorkerId& id = worker.registration().worker;
  for (const std::uint64_t run_id : state_.runs.OnWorker(id)) {
    const Run& run = *state_.runs.Find(run_id);
    TrackedJob* const job = state_.FindJob(run.key.task.job);
    if (job == nullptr || run.orphaned || run.stop_requested) continue;
    if (job->FindTask(run.key.task) == nullptr) continue;
    const StepSpec& spec = job->spec(run.key.task.step);
    // Its members on workers that stay would be stopped too, more of them than
    // the step may miss.
    if (spec.gang && spec.long_running) continue;
    if (now < DrainStopTime(now, *worker.leaves_at(), spec, run)) continue;
    ++state_.counts.runs_moved;
    LogRequest(LogPart::kPlacer, run.key.task.job.value(), [&] {
      return "stopping a run whose worker leaves before its "
             "end job=" +
             run.key.task.job.value() +
             " step=" + std::to_string(run.key.task.step) +
             " task=" + std::to_string(run.key.task.index) +
             " worker=" + id.value() +
             " percent=" + std::to_string(run.percent);
    });
    runs_.StopToMove(run_id);
  }
}

bool WorkerManager::RemoveIfGone(TrackedWorker& worker) {
  const WorkerId id = worker.registration().worker;
  if (worker.registered() || !worker.IsUnresponsive()) return false;
  // Its row makes a successor wait for its lists, which hold these ends.
  const bool has_unsaved_ends = worker.HasUnpersistedEnds() ||
                                worker.unknown_ends_since != TimePoint::max();
  if (has_unsaved_ends) return false;
  // A run that may be there, or may still start, is in the table of runs.
  const bool idle =
      state_.runs.OnWorker(id).empty() && !state_.unsynced_workers.contains(id);
  if (!idle) return false;
  if (worker.enrolled) {
    LogInfo(LogPart::kWorker, "worker has gone; removing its row worker=" +
                                  id.value() + DescribeEnds(worker));
    state_.removed_workers.insert(id);
  }
  attention_.erase({worker.attention_at, id});
  state_.RemoveWorker(id);
  return true;
}

TimePoint WorkerManager::AttentionTime(TimePoint now,
                                       const TrackedWorker& worker) const {
  TimePoint next = TimePoint::max();
  if (worker.pending_poll == 0) next = worker.next_poll;
  if (worker.leaves_at() &&
      !state_.runs.OnWorker(worker.registration().worker).empty()) {
    next = std::min(next, now + kDrainCheckInterval);
  }
  if (!worker.IsUnresponsive()) return next;
  const TimePoint expiry = worker.LeaseExpiry(state_.options);
  // What an expiry that has passed leaves to do may wait for another event.
  return std::min(
      next, expiry >= now ? expiry + kExpiryStep : now + kExpiredCheckInterval);
}

void WorkerManager::UpdateAttention(TimePoint now, TrackedWorker& worker) {
  const WorkerId& id = worker.registration().worker;
  const TimePoint at = AttentionTime(now, worker);
  if (at == worker.attention_at) return;
  if (worker.attention_at != TimePoint::max())
    attention_.erase({worker.attention_at, id});
  worker.attention_at = at;
  if (at != TimePoint::max()) attention_.insert({at, id});
}

TimePoint WorkerManager::next_due() const {
  return attention_.empty() ? TimePoint::max() : attention_.begin()->first;
}

void WorkerManager::OnPollFailure(TimePoint now, TrackedWorker& worker,
                                  const std::string& why) {
  if (!worker.IsUnresponsive()) {
    worker.unresponsive_since = now;
    state_.UpdateWorker(worker);
    if (!worker.has_drained) runs_.SuspectCrash(worker);
    EnableCopies(worker.registration().worker);
    LogWarning(LogPart::kWorker, why + "; starting no tasks on it worker=" +
                                     worker.registration().worker.value());
    if (state_.IsExclusive(now) && HasSuccessor(worker))
      OnIncarnationEnded(now, worker);
  }
}

// Another worker has answered. That ends this one only where it has answered
// itself: its registration may name the address of another worker.
void WorkerManager::OnWrongIncarnation(TimePoint now, TrackedWorker& worker) {
  if (worker.polled_address != worker.registration().address) {
    worker.next_poll = now;
    return;
  }
  if (worker.answered_address != worker.polled_address) {
    OnPollFailure(now, worker,
                  "another worker answers at the address of a registration");
    worker.next_poll = now + kUnansweredPollDelay;
    return;
  }
  if (state_.IsExclusive(now)) {
    OnIncarnationEnded(now, worker);
  } else {
    OnUnmetIncarnation(now, worker);
  }
}

void WorkerManager::OnUnmetIncarnation(TimePoint now, TrackedWorker& worker) {
  ++state_.counts.unmet_incarnations;
  OnPollFailure(now, worker,
                "worker has started while another host may be dispatching");
  worker.next_poll = now + kUnmetIncarnationPollDelay;
}

// Lets the steps with tasks on the worker start copies of them elsewhere.
void WorkerManager::EnableCopies(const WorkerId& id) {
  for (const std::uint64_t run_id : state_.runs.OnWorker(id)) {
    const Run& run = *state_.runs.Find(run_id);
    TrackedJob* const job = state_.FindJob(run.key.task.job);
    if (job == nullptr || run.orphaned) continue;
    if (job->spec(run.key.task.step).copies_allowed)
      jobs_.RefreshReadySteps(*job);
  }
}

void WorkerManager::OnCommandResponse(TimePoint now, const WorkerId& id,
                                      const CommandResponse& response) {
  TrackedWorker* const worker = state_.FindWorker(id);
  if (worker == nullptr) return;
  ApplyCommandResponse(now, *worker, response);
  UpdateAttention(now, *worker);
}

void WorkerManager::ApplyCommandResponse(TimePoint now, TrackedWorker& worker,
                                         const CommandResponse& response) {
  if (response.outcome == CommandOutcome::kWrongIncarnation) {
    // The command may have gone to an address that the worker has left since.
    worker.next_poll = now;
    return;
  }
  if (response.outcome == CommandOutcome::kNotSent) {
    worker.backoff_until = now + state_.options.refusal_backoff;
    return;
  }
  if (!response.clock) return;
  if (worker.IsRestarted(now, *response.clock)) {
    if (state_.IsExclusive(now))
      OnRestart(now, worker, {.clock = *response.clock});
    worker.next_poll = now;
    return;
  }
  worker.SetClock(now, *response.clock);
  worker.last_response_at = now;
}

void WorkerManager::OnIncarnationEnded(TimePoint now, TrackedWorker& worker) {
  const WorkerId id = worker.registration().worker;
  Log(LogPart::kWorker, LevelOfLoss(state_.runs, id),
      "worker incarnation has ended; its runs count as lost worker=" +
          id.value() + DescribeRunsOn(state_.runs, id) + DescribeEnds(worker));
  NoteLostUnseen(worker);
  if (!worker.has_drained) runs_.ConfirmCrash(worker);
  EndRunsAsLost(now, id);
  worker.ResetForNewIncarnation();
  worker.answered_address.reset();
  worker.unresponsive_since = now;
  worker.next_poll = now + state_.options.poll_retry_delay;
  state_.UpdateWorker(worker);
  state_.UpdateTableWork(worker);
  MarkSynced(id);
}

// The new incarnation does not list the runs of the ended one. It may still
// receive and start a run whose command has had no response, so that run is
// stopped.
void WorkerManager::OnRestart(TimePoint now, TrackedWorker& worker,
                              const RestartSign& sign) {
  const WorkerId& id = worker.registration().worker;
  Log(LogPart::kWorker, LevelOfLoss(state_.runs, id),
      "worker has restarted; requesting new advice about it worker=" +
          id.value() + DescribeRestart(now, worker, sign) +
          DescribeRunsOn(state_.runs, id) + DescribeEnds(worker));
  if (!worker.has_drained) runs_.ConfirmCrash(worker);
  worker.ResetForNewIncarnation();
  state_.UpdateWorker(worker);
  state_.UpdateTableWork(worker);
  worker.set_foreign_lease_expiry(
      now + state_.options.LongestOnSlowClock(state_.options.max_worker_lease));
  std::vector<std::uint64_t> never_there;
  for (const std::uint64_t run_id : state_.runs.OnWorker(id)) {
    Run& run = *state_.runs.Find(run_id);
    if (run.unanswered_sends > 0) {
      // What the ended incarnation has confirmed says nothing about this one.
      run.acknowledged = false;
      run.stop_confirmed = false;
      state_.runs.RequestStop(run);
      state_.runs.UpdateCommand(run);
    } else if (!run.acknowledged) {
      never_there.push_back(run_id);
    }
  }
  // Their next attempt would start them on the new incarnation, which may be
  // smaller or of another kind.
  for (const std::uint64_t run_id : never_there) {
    runs_.End(now, run_id, RunEndReason::kLost, "");
  }
  ForgetAdvice(id);
}

void WorkerManager::OnPollResponse(TimePoint now, const WorkerId& id,
                                   std::uint64_t poll_id,
                                   const PollResponse& response) {
  TrackedWorker* const worker = state_.FindWorker(id);
  if (worker == nullptr || worker->pending_poll != poll_id) return;
  worker->pending_poll = 0;
  ApplyPollResponse(now, *worker, response);
  UpdateAttention(now, *worker);
}

void WorkerManager::ApplyPollResponse(TimePoint now, TrackedWorker& worker,
                                      const PollResponse& response) {
  if (response.outcome == CommandOutcome::kFenced) {
    state_.OnFencedResponse(response.fence);
    worker.next_poll = now;
    return;
  }
  if (response.outcome == CommandOutcome::kWrongIncarnation) {
    OnWrongIncarnation(now, worker);
    return;
  }
  if (response.outcome != CommandOutcome::kDone || !response.clock) {
    OnPollFailure(now, worker, "worker did not respond to a poll");
    worker.next_poll =
        now + (worker.HasAnswered() ? state_.options.poll_retry_delay
                                    : kUnansweredPollDelay);
    return;
  }
  const bool incarnation_changed =
      worker.incarnation_start.count() > 0 &&
      response.incarnation_start != worker.incarnation_start;
  const bool restarted =
      incarnation_changed || worker.IsRestarted(now, *response.clock);
  if ((restarted || !worker.synced) && !state_.IsExclusive(now)) {
    OnUnmetIncarnation(now, worker);
    return;
  }
  if (restarted) {
    OnRestart(now, worker,
              {.by_start = incarnation_changed,
               .incarnation_start = response.incarnation_start,
               .clock = *response.clock});
  } else if (worker.IsUnresponsive()) {
    runs_.DropSuspectedCrash(worker);
  }
  worker.incarnation_start = response.incarnation_start;
  worker.SetClock(now, *response.clock);
  worker.last_response_at = now;
  worker.unresponsive_since = TimePoint{};
  const bool answers_anew = worker.answered_address != worker.polled_address;
  worker.answered_address = worker.polled_address;
  if (answers_anew) EndPredecessors(now, worker);
  ProcessEnds(now, worker, response);
  ProcessRunning(now, worker, response);
  NoteWhetherListsAreWhole(worker, response);
  if (worker.lists_all_runs) EndUnlistedRuns(now, worker, response);
  const bool first_response = !worker.synced;
  worker.synced = true;
  state_.UpdateWorker(worker);
  state_.UpdateTableWork(worker);
  if (worker.lists_all_runs) MarkSynced(worker.registration().worker);
  const bool wait_for_table = worker.HasUnpersistedEnds() && !first_response;
  worker.next_poll =
      wait_for_table ? now + state_.options.end_persist_wait : now;
  if (worker.unknown_ends_since != TimePoint::max())
    worker.next_poll = now + kUnknownJobPollDelay;
}

void WorkerManager::OnEndsPersisted(TimePoint now, const WorkerId& id,
                                    std::chrono::milliseconds incarnation_start,
                                    std::uint64_t end) {
  TrackedWorker* const worker = state_.FindWorker(id);
  if (worker == nullptr || end > worker->processed_end) return;
  if (worker->incarnation_start != incarnation_start) return;
  worker->persisted_end = std::max(worker->persisted_end, end);
  std::erase_if(worker->unpersisted_ends, [end](const UnpersistedEnd& each) {
    return each.number <= end;
  });
  if (!worker->HasUnpersistedEnds() && !worker->IsUnresponsive()) {
    worker->next_poll = std::min(worker->next_poll, now);
  }
  state_.UpdateTableWork(*worker);
  UpdateAttention(now, *worker);
}

// An end of an unknown job is left for a later poll, and so is the note of the
// ends after it: the worker lists them again, and repeating them is harmless.
void WorkerManager::ProcessEnds(TimePoint now, TrackedWorker& worker,
                                const PollResponse& response) {
  bool all_known = true;
  for (const EndedRunReport* const end : InOrderOfNumbers(response.ended)) {
    if (end->number <= worker.processed_end) continue;
    if (IsOfJobOnItsWay(now, worker, *end)) {
      all_known = false;
      continue;
    }
    ProcessEnd(now, worker, *end);
    if (!all_known) continue;
    worker.processed_end = end->number;
    worker.unpersisted_ends.push_back(
        {end->number, state_.dirty.last_change(), end->run.task.job});
  }
  if (all_known) worker.unknown_ends_since = TimePoint::max();
  if (worker.failures_in_row >= kFailuresBeforeBackoff) {
    worker.backoff_until = now + kFailureBackoff;
    worker.failures_in_row = kFailuresBeforeBackoff - 1;
  }
}

bool WorkerManager::IsOfJobOnItsWay(TimePoint now, TrackedWorker& worker,
                                    const EndedRunReport& end) {
  if (state_.FindJob(end.run.task.job) != nullptr) return false;
  worker.unknown_ends_since = std::min(worker.unknown_ends_since, now);
  if (now < worker.unknown_ends_since + kUnknownJobTimeout) {
    runs_.KeepUnknownEnd(end);
    return true;
  }
  runs_.ForgetUnknownEnds(end.run.task.job);
  LogWarning(LogPart::kWorker, "ignoring the end of a run of an unknown job=" +
                                   end.run.task.job.value() + " worker=" +
                                   worker.registration().worker.value());
  return false;
}

void WorkerManager::ProcessEnd(TimePoint now, const TrackedWorker& worker,
                               const EndedRunReport& end) {
  Run* const run = state_.runs.Find(worker.registration().worker, end.run);
  LogRequest(LogPart::kPlacer, end.run.task.job.value(), [&] {
    return "run ended job=" + end.run.task.job.value() +
           " step=" + std::to_string(end.run.task.step) +
           " task=" + std::to_string(end.run.task.index) +
           " run=" + std::to_string(end.run.number) +
           " how=" + std::to_string(static_cast<int>(end.how)) +
           " worker=" + worker.registration().worker.value();
  });
  TrackedJob* const job = state_.FindJob(end.run.task.job);
  if (job != nullptr)
    state_.repeated_ends.OnEnd(now, worker, end, *job, state_.runs);
  if (run != nullptr) {
    runs_.End(now, run->id, end.how, end.saved);
  } else if (job != nullptr) {
    runs_.OnUntrackedRunEnd(*job, end);
  }
}

void WorkerManager::ProcessRunning(TimePoint now, TrackedWorker& worker,
                                   const PollResponse& response) {
  for (const ActiveRunReport& listed : response.running) {
    ProcessListedRun(now, worker, listed);
  }
}

void WorkerManager::ProcessListedRun(TimePoint now, TrackedWorker& worker,
                                     const ActiveRunReport& listed) {
  const WorkerId& id = worker.registration().worker;
  if (Run* const run = state_.runs.Find(id, listed.run)) {
    runs_.MarkAcknowledged(now, *run);
    if (!listed.saved.empty()) run->saved = listed.saved;
    if (listed.percent > run->percent) run->last_progress_at = now;
    run->percent = listed.percent;
    run->load = listed.load;
    run->listed_at = now;
    runs_.OnListed(now, *run);
    return;
  }
  runs_.Adopt(now, worker, listed);
}

void WorkerManager::NoteWhetherListsAreWhole(TrackedWorker& worker,
                                             const PollResponse& response) {
  const bool whole = response.ListsAllRuns();
  if (!whole) ++state_.counts.full_end_lists;
  if (whole == worker.lists_all_runs) return;
  worker.lists_all_runs = whole;
  LogInfo(LogPart::kWorker,
          std::string(whole ? "worker lists all of its ends again"
                            : "worker may have more ends than it lists; runs "
                              "that it does not list count as running") +
              " worker=" + worker.registration().worker.value() +
              " runs_listed=" + std::to_string(response.running.size()) +
              " ends_listed=" + std::to_string(response.ended.size()) +
              " ends_unsaved=" +
              std::to_string(worker.processed_end - worker.persisted_end));
}

// Ends the runs that the worker would list if they still existed: it has
// acknowledged them or their stop before the poll was sent, or their start
// deadline has passed. The lists must be whole.
void WorkerManager::EndUnlistedRuns(TimePoint now, TrackedWorker& worker,
                                    const PollResponse& response) {
  std::set<TaskRunKey> listed;
  for (const ActiveRunReport& run : response.running) listed.insert(run.run);
  const WorkerId& id = worker.registration().worker;
  std::vector<std::uint64_t> absent;
  for (const std::uint64_t run_id : state_.runs.OnWorker(id)) {
    const Run& run = *state_.runs.Find(run_id);
    if (listed.contains(run.key)) continue;
    const bool acknowledged_before_poll =
        run.acknowledged && run.acknowledged_at < worker.poll_sent;
    const bool stopped_before_poll =
        run.stop_confirmed && run.stop_confirmed_at < worker.poll_sent;
    const bool start_deadline_passed = !run.acknowledged &&
                                       run.send_count > 0 &&
                                       *response.clock > run.deadline;
    if (acknowledged_before_poll || stopped_before_poll ||
        start_deadline_passed)
      absent.push_back(run_id);
  }
  if (absent.empty()) return;
  state_.counts.unlisted_runs += absent.size();
  LogWarning(LogPart::kWorker,
             "worker no longer lists runs; counting them as lost worker=" +
                 id.value() + DescribeRuns(state_.runs, absent) +
                 " runs_listed=" + std::to_string(response.running.size()) +
                 " ends_listed=" + std::to_string(response.ended.size()) +
                 DescribeEnds(worker));
  for (const std::uint64_t run_id : absent) {
    const Run& run = *state_.runs.Find(run_id);
    LogRequest(LogPart::kPlacer, run.key.task.job.value(), [&] {
      return "run is no longer listed by its worker; counting it as lost job=" +
             run.key.task.job.value() +
             " step=" + std::to_string(run.key.task.step) +
             " task=" + std::to_string(run.key.task.index) +
             " worker=" + id.value() +
             " acknowledged=" + std::to_string(run.acknowledged ? 1 : 0) +
             " stopped=" + std::to_string(run.stop_confirmed ? 1 : 0) +
             " runs_listed=" + std::to_string(response.running.size()) +
             " ends_listed=" + std::to_string(response.ended.size()) +
             " ends_unsaved=" +
             std::to_string(worker.processed_end - worker.persisted_end);
    });
    runs_.End(now, run_id, RunEndReason::kLost, "");
  }
}

void WorkerManager::EndRunsAfterLeaseExpiry(TimePoint now,
                                            TrackedWorker& worker) {
  if (!worker.IsUnresponsive()) return;
  // Another host may be dispatching: it may reach the worker, and may already
  // have recorded how these runs ended.
  if (!state_.IsExclusive(now)) return;
  const WorkerId id = worker.registration().worker;
  const bool may_have_runs =
      !state_.runs.OnWorker(id).empty() || state_.unsynced_workers.contains(id);
  if (!may_have_runs || now <= worker.LeaseExpiry(state_.options)) return;
  LogWarning(LogPart::kWorker,
             "lease of an unresponsive worker has expired; its runs count as "
             "lost worker=" +
                 id.value() + DescribeRunsOn(state_.runs, id) +
                 DescribeEnds(worker));
  NoteLostUnseen(worker);
  EndRunsAsLost(now, id);
  worker.synced = false;
  state_.UpdateWorker(worker);
  MarkSynced(id);
}

void WorkerManager::EndRunsAsLost(TimePoint now, const WorkerId& id) {
  const std::set<std::uint64_t> lost = state_.runs.OnWorker(id);
  for (const std::uint64_t run_id : lost) {
    runs_.End(now, run_id, RunEndReason::kLost, "");
  }
  ForgetAdvice(id);
}

// Tickets and verdicts of the advice service hold for one incarnation.
void WorkerManager::ForgetAdvice(const WorkerId& id) {
  state_.advice.Forget(id);
  for (const JobId& job : state_.active_jobs) {
    ++state_.counts.jobs_examined;
    for (auto& [number, steps] : state_.FindJob(job)->occurrences) {
      for (TrackedStep& step : steps) step.advice.Forget(id);
    }
  }
}

void WorkerManager::NoteLostUnseen(const TrackedWorker& worker) {
  const WorkerId& id = worker.registration().worker;
  if (worker.has_drained || !state_.unsynced_workers.contains(id)) return;
  state_.lost_unseen_worker = true;
}

void WorkerManager::MarkSynced(const WorkerId& id) {
  if (state_.unsynced_workers.erase(id) == 0) return;
  if (state_.unsynced_workers.empty()) jobs_.ClearUncertainty();
}

}  // namespace chivewing
