#include "dispatch/run_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "dispatch/crash_policy.h"

namespace chivewing {
namespace {

// The retry delay of a start command doubles up to this many times.
constexpr std::size_t kMaxBackoffDoublings = 3;
constexpr std::chrono::milliseconds kStopRetryDelay{300};
// A listed run whose job is still unknown after this long belongs to no job.
constexpr std::chrono::seconds kOrphanTimeout{3};
// Run numbers to skip when a worker rejects a run as superseded: it has seen
// this number or a higher one of the task.
constexpr std::uint64_t kSupersededRunSkip = 10;

std::string Describe(const TaskRunKey& run) {
  return run.task.job.value() + "." + std::to_string(run.task.occurrence) +
         "." + std::to_string(run.task.step) + "." +
         std::to_string(run.task.index) + " run=" + std::to_string(run.number);
}

}  // namespace

void RunManager::Start(TimePoint now, TrackedJob& job, const TaskKey& task,
                       TrackedWorker& worker, std::uint64_t number,
                       const std::string& ticket, DispatchEffects& out) {
  TrackedTask& state = *job.FindTask(task);
  Run run;
  run.key = {task, number};
  run.worker = worker.registration().worker;
  run.held = job.spec(task.step).ResourcesHeld();
  run.is_copy = !state.runs.empty();
  run.ticket = ticket;
  run.started_at = now;
  run.saved = state.progress.saved;
  if (!Fits(run.held, worker.free_resources())) {
    state_.ReportInvariantBreach("insufficient free resources for " +
                                 Describe(run.key) + " on " +
                                 run.worker.value());
    return;
  }
  worker.Occupy(run.held);
  state_.UpdateWorker(worker);
  Run& added = state_.runs.Add(std::move(run));
  if (NeedsWorkerAlone(state, job.spec(task.step))) Isolate(added);
  jobs_.SetNotedWorker(job, state, worker);
  state.runs.push_back(added.id);
  state.highest_run = std::max(state.highest_run, number);
  if (state.first_run_here == 0) state.first_run_here = number;
  job.highest_run = std::max(job.highest_run, number);
  ++state_.counts.starts;
  SendStart(now, added, out);
}

void RunManager::SendStart(TimePoint now, Run& run, DispatchEffects& out) {
  run.next_send = now + state_.options.start_retry_delay;
  state_.runs.UpdateCommand(run);
  TrackedWorker* const worker = state_.FindWorker(run.worker);
  if (worker == nullptr) return;
  // It may have crashed under this run: its list tells first.
  if (worker->IsUnresponsive()) return;
  const std::chrono::milliseconds length = state_.GrantableLease(now);
  if (length.count() <= 0) return;
  const auto lease = worker->GrantLease(now, length);
  if (!lease) return;
  // Retries carry the deadline and the incarnation of the first attempt, so
  // that no copy of the command can start the run later or elsewhere.
  if (run.send_count == 0) {
    run.deadline = *lease;
    run.incarnation_start = worker->incarnation_start;
  }
  const std::size_t doublings = std::min(run.send_count, kMaxBackoffDoublings);
  run.next_send = now + state_.options.start_retry_delay * (1 << doublings);
  ++run.send_count;
  TrackedJob* const job = state_.FindJob(run.key.task.job);
  StartRun command = MakeStartCommand(now, run, *worker, job);
  const StartFault fault = state_.start_guard.Check(job, run, command);
  if (fault != StartFault::kNone) {
    Withhold(now, run, fault);
    return;
  }
  run.start_in_flight = true;
  ++run.unanswered_sends;
  if (run.send_count > 1) ++state_.counts.start_retries;
  state_.runs.UpdateCommand(run);
  out.emplace_back(std::move(command));
}

StartRun RunManager::MakeStartCommand(TimePoint now, const Run& run,
                                      const TrackedWorker& worker,
                                      const TrackedJob* job) const {
  StartRun command;
  command.run_id = run.id;
  command.worker = run.worker;
  command.address = worker.registration().address;
  command.run = run.key;
  command.deadline = run.deadline;
  command.fence = state_.fence;
  command.saved = run.saved;
  command.ticket = run.ticket;
  command.incarnation_start = run.incarnation_start;
  command.fresh_connection = run.send_count > 1;
  if (job == nullptr) return command;
  command.payload = job->record.spec.payload;
  command.job_row_version = job->record.row_version;
  command.job_age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - job->accepted_at);
  return command;
}

// The command is not sent. The run ends at once if no earlier attempt can have
// reached the worker, and is stopped otherwise.
void RunManager::Withhold(TimePoint now, Run& run, StartFault fault) {
  state_.ReportInvariantBreach(
      "start withheld reason=" + std::string(Name(fault)) +
      " task=" + Describe(run.key) + " worker=" + run.worker.value() +
      " fence=" + std::to_string(state_.fence) +
      " attempt=" + std::to_string(run.send_count));
  if (run.unanswered_sends > 0) {
    state_.runs.RequestStop(run);
    return;
  }
  End(now, run.id, RunEndReason::kLost, "");
}

void RunManager::Adopt(TimePoint now, TrackedWorker& worker,
                       const ActiveRunReport& listed) {
  Run run;
  run.key = listed.run;
  run.worker = worker.registration().worker;
  run.acknowledged = true;
  run.acknowledged_at = now;
  run.saved = listed.saved;
  run.orphaned = true;
  Run& added = state_.runs.Add(std::move(run));
  state_.UpdateWorker(worker);
  if (TrackedJob* const job = state_.FindJob(listed.run.task.job)) {
    Attach(added, *job);
  }
}

void RunManager::AttachOrphans(const JobId& id) {
  TrackedJob* const job = state_.FindJob(id);
  if (job == nullptr) return;
  for (const std::uint64_t run : state_.runs.OrphansOf(id)) {
    Attach(*state_.runs.Find(run), *job);
  }
  const auto ends = unknown_ends_.extract(id);
  if (ends.empty()) return;
  for (const auto& [run, end] : ends.mapped()) OnUntrackedRunEnd(*job, end);
}

void RunManager::KeepUnknownEnd(const EndedRunReport& end) {
  unknown_ends_[end.run.task.job].insert_or_assign(end.run, end);
}

void RunManager::Attach(Run& run, TrackedJob& job) {
  state_.runs.SetAttached(run.id);
  const TaskKey& key = run.key.task;
  if (key.step < job.record.spec.steps.size()) {
    run.held = job.spec(key.step).ResourcesHeld();
  }
  if (TrackedWorker* const worker = state_.FindWorker(run.worker)) {
    worker->Occupy(run.held);
    state_.UpdateWorker(*worker);
  }
  job.OpenReportedOccurrence(key.occurrence);
  TrackedTask* const task = job.FindTask(key);
  const SurplusReason reason = FindSurplusReason(run, job, task);
  const bool needed = reason == SurplusReason::kNone;
  if (!needed) {
    LogRequest(LogPart::kPlacer, key.job.value(), [&] {
      return "stopping an adopted run that is not needed task=" +
             Describe(run.key) + " worker=" + run.worker.value() +
             " reason=" + std::string(Name(reason));
    });
    ++state_.surplus_runs.at(static_cast<std::size_t>(reason));
    state_.runs.RequestStop(run);
  }
  if (task == nullptr) return;
  task->runs.push_back(run.id);
  task->highest_run = std::max(task->highest_run, run.key.number);
  job.highest_run = std::max(job.highest_run, run.key.number);
  if (needed) jobs_.OnTaskStarted(job);
  if (needed && NeedsWorkerAlone(*task, job.spec(key.step))) Isolate(run);
  jobs_.RefreshReadySteps(job);
}

void RunManager::StopOrphans(TimePoint now) {
  for (const std::uint64_t id : state_.runs.orphans()) {
    Run& run = *state_.runs.Find(id);
    if (run.stop_requested || now < run.acknowledged_at + kOrphanTimeout)
      continue;
    ++state_.counts.orphans_stopped;
    state_.runs.RequestStop(run);
  }
}

void RunManager::MarkAcknowledged(TimePoint now, Run& run) {
  if (run.acknowledged) return;
  run.acknowledged = true;
  run.acknowledged_at = now;
  run.last_progress_at = now;
  state_.runs.UpdateCommand(run);
  TrackedJob* const job = state_.FindJob(run.key.task.job);
  if (job == nullptr) return;
  if (job->state == JobPhase::kQueued) {
    state_.first_start.Add(now - job->accepted_at);
  }
  jobs_.OnTaskStarted(*job);
}

void RunManager::OnStartResponse(TimePoint now, std::uint64_t run_id,
                                 const CommandResponse& response) {
  Run* const run = state_.runs.Find(run_id);
  if (run == nullptr) return;
  run->start_in_flight = false;
  state_.runs.UpdateCommand(*run);
  if (response.outcome != CommandOutcome::kNoResponse &&
      run->unanswered_sends > 0) {
    --run->unanswered_sends;
  }
  switch (response.outcome) {
    case CommandOutcome::kDone:
      MarkAcknowledged(now, *run);
      return;
    case CommandOutcome::kNoResponse:
      return;
    case CommandOutcome::kFenced:
      // This attempt was not executed. If there is no other dispatcher, the
      // next attempt carries the present fence.
      state_.OnFencedResponse(response.fence);
      return;
    default:
      OnRefusal(now, *run, response.outcome);
  }
}

void RunManager::OnRefusal(TimePoint now, Run& run, CommandOutcome outcome) {
  ++state_.counts.start_refusals;
  LogRequest(LogPart::kPlacer, run.key.task.job.value(), [&] {
    return "start command refused by worker task=" + Describe(run.key) +
           " worker=" + run.worker.value() +
           " reason=" + std::to_string(static_cast<int>(outcome)) +
           " unanswered=" + std::to_string(run.unanswered_sends);
  });
  TrackedWorker* const worker = state_.FindWorker(run.worker);
  TrackedJob* const job = state_.FindJob(run.key.task.job);
  const TaskKey& key = run.key.task;
  TrackedStep* const step =
      job == nullptr ? nullptr : job->FindStep(key.occurrence, key.step);
  if (outcome == CommandOutcome::kTicketRefused && step != nullptr) {
    step->advice.Forget(run.worker);
  } else if (outcome == CommandOutcome::kSuperseded && step != nullptr) {
    step->tasks[key.index].highest_run += kSupersededRunSkip;
  } else if (worker != nullptr) {
    worker->backoff_until = now + state_.options.refusal_backoff;
  }
  // An earlier attempt without a response may have been executed: the next list
  // of the worker's runs tells.
  if (run.acknowledged || run.unanswered_sends > 0) return;
  End(now, run.id, RunEndReason::kLost, "");
}

void RunManager::SendStop(TimePoint now, Run& run, DispatchEffects& out) {
  if (run.next_stop != TimePoint{}) ++state_.counts.stop_retries;
  run.next_stop = now + kStopRetryDelay;
  TrackedWorker* const worker = state_.FindWorker(run.worker);
  run.stop_in_flight = worker != nullptr;
  state_.runs.UpdateCommand(run);
  if (worker == nullptr) return;
  out.emplace_back(StopRun{run.id, run.worker, worker->registration().address,
                           run.key, state_.fence});
}

void RunManager::OnStopResponse(TimePoint now, std::uint64_t run_id,
                                const CommandResponse& response) {
  Run* const run = state_.runs.Find(run_id);
  if (run == nullptr) return;
  run->stop_in_flight = false;
  if (response.outcome == CommandOutcome::kDone) {
    run->stop_confirmed = true;
    run->stop_confirmed_at = now;
  }
  state_.runs.UpdateCommand(*run);
  if (response.outcome == CommandOutcome::kFenced) {
    state_.OnFencedResponse(response.fence);
  }
}

void RunManager::SendDue(TimePoint now, DispatchEffects& out) {
  for (const std::uint64_t id : state_.runs.DueCommands(now)) {
    Run* const run = state_.runs.Find(id);
    if (run == nullptr) continue;  // a withheld start has ended it
    if (run->stop_requested) {
      SendStop(now, *run, out);
    } else {
      SendStart(now, *run, out);
    }
  }
}

void RunManager::Isolate(Run& run) {
  run.isolated = true;
  state_.isolated_runs[run.worker] = run.id;
}

void RunManager::OnListed(TimePoint now, Run& run) {
  if (run.proved || IsOnProbation(now, run)) return;
  run.proved = true;
  TrackedJob* const job = state_.FindJob(run.key.task.job);
  if (job == nullptr || !job->IsActive()) return;
  TrackedTask* const task = job->FindTask(run.key.task);
  if (task != nullptr) jobs_.ClearSuspicion(*job, *task);
}

void RunManager::SuspectCrash(const TrackedWorker& worker) {
  for (const std::uint64_t id : RunsOfKnownJobs(worker)) {
    Run& run = *state_.runs.Find(id);
    if (run.crash_counted || !IsSuspect(run, worker)) continue;
    run.crash_counted = true;
    jobs_.OnWorkerCrashed(*state_.FindJob(run.key.task.job), run.key.task);
  }
}

void RunManager::ConfirmCrash(const TrackedWorker& worker) {
  SuspectCrash(worker);
  for (const std::uint64_t id : RunsOfKnownJobs(worker)) {
    Run& run = *state_.runs.Find(id);
    TrackedJob& job = *state_.FindJob(run.key.task.job);
    TrackedTask* const task = job.FindTask(run.key.task);
    if (task == nullptr || !job.IsActive()) continue;
    if (!run.crash_counted) {
      jobs_.ClearSuspicion(job, *task);  // it has proved harmless
      continue;
    }
    run.crash_confirmed = true;
    if (IsGivenUp(*task, job.spec(run.key.task.step)))
      jobs_.GiveUp(job, run.key.task);
  }
}

void RunManager::DropSuspectedCrash(const TrackedWorker& worker) {
  for (const std::uint64_t id : RunsOfKnownJobs(worker)) {
    Run& run = *state_.runs.Find(id);
    if (!run.crash_counted || run.crash_confirmed) continue;
    run.crash_counted = false;
    jobs_.ForgetCrash(*state_.FindJob(run.key.task.job), run.key.task);
  }
}

std::vector<std::uint64_t> RunManager::RunsOfKnownJobs(
    const TrackedWorker& worker) {
  std::vector<std::uint64_t> out;
  for (const std::uint64_t id :
       state_.runs.OnWorker(worker.registration().worker)) {
    const Run& run = *state_.runs.Find(id);
    if (!run.orphaned && state_.FindJob(run.key.task.job) != nullptr)
      out.push_back(id);
  }
  return out;
}

void RunManager::End(TimePoint /*now*/, std::uint64_t run_id,
                     RunEndReason reason, const std::string& saved) {
  Run* const found = state_.runs.Find(run_id);
  if (found == nullptr) return;
  const Run run = *found;
  state_.runs.Remove(run_id);
  const auto isolated = state_.isolated_runs.find(run.worker);
  if (isolated != state_.isolated_runs.end() && isolated->second == run_id)
    state_.isolated_runs.erase(isolated);
  if (TrackedWorker* const worker = state_.FindWorker(run.worker)) {
    worker->Release(run.held);
    state_.UpdateWorker(*worker);
    if (reason == RunEndReason::kDone) worker->failures_in_row = 0;
    if (reason == RunEndReason::kFailed) ++worker->failures_in_row;
  }
  TrackedJob* const job = state_.FindJob(run.key.task.job);
  if (job == nullptr) return;
  if (TrackedTask* const task = job->FindTask(run.key.task)) {
    std::erase(task->runs, run_id);
    if (reason == RunEndReason::kFailed) task->failed_on.insert(run.worker);
    const bool reported =
        reason == RunEndReason::kDone || reason == RunEndReason::kFailed;
    if (reported) jobs_.ClearSuspicion(*job, *task);
    if (!reported && run.isolated && !run.crash_confirmed)
      jobs_.ForgetIsolatedStart(*job, *task);
    if (!reported && run.crash_counted && !run.crash_confirmed)
      jobs_.ForgetCrash(*job, run.key.task);
    // An end without a checkpoint keeps the newest one that was listed.
    if (saved.empty() && !run.saved.empty()) {
      task->progress.saved = run.saved;
    }
  }
  RecordEnd(*job, run.key, reason, saved);
}

void RunManager::OnUntrackedRunEnd(TrackedJob& job, const EndedRunReport& end) {
  job.OpenReportedOccurrence(end.run.task.occurrence);
  RecordEnd(job, end.run, end.how, end.saved);
}

void RunManager::RecordEnd(TrackedJob& job, const TaskRunKey& run,
                           RunEndReason reason, const std::string& saved) {
  const TaskKey key = run.task;
  TrackedStep* const step = job.FindStep(key.occurrence, key.step);
  TrackedTask* const task = job.FindTask(key);
  if (step == nullptr || task == nullptr) {
    ReportEndWithoutTask(job, run, reason);
    return;
  }
  const StepSpec& spec = job.spec(key.step);
  task->highest_run = std::max(task->highest_run, run.number);
  job.highest_run = std::max(job.highest_run, run.number);
  if (!saved.empty() && spec.checkpoints) {
    task->progress.saved = saved;
    state_.dirty.Mark(job.record.id);
  }
  if (reason == RunEndReason::kDone && !spec.long_running) {
    ++state_.counts.runs_done;
    for (std::size_t i = 0; i < step->tasks.size(); ++i) {
      if (!spec.gang && i != key.index) continue;
      if (step->tasks[i].progress.done) continue;
      step->tasks[i].progress.done = true;
      ++step->done_count;
    }
    if (spec.gang) {
      StopUnconfirmedRuns(*step);
    } else {
      StopTaskRuns(job, key, false);
    }
    if (job.IsActive()) jobs_.OnTaskDone(job, key.occurrence);
    return;
  }
  if (spec.gang) StopTaskRuns(job, key, true);
  if (reason == RunEndReason::kFailed) {
    ++state_.counts.runs_failed;
    // A gang fails as a whole: its failures are counted at its first task.
    TrackedTask& counted = spec.gang ? step->tasks.front() : *task;
    // Tasks that last may fail any number of times.
    if (!spec.long_running) counted.progress.failed_runs.insert(run.number);
    jobs_.OnTaskFailed(job, key, counted.progress);
  } else {
    ++state_.counts.runs_lost;
  }
  jobs_.RefreshReadySteps(job);
}

// The worker is told that the end has been read, though it changes no task.
// Ends of jobs and occurrences that are over come after each take-over.
void RunManager::ReportEndWithoutTask(const TrackedJob& job,
                                      const TaskRunKey& run,
                                      RunEndReason reason) {
  const bool over =
      !job.IsActive() || run.task.occurrence < job.finished_occurrences;
  const auto line = [&] {
    return std::string("the end of a run changes no task, ") +
           (over ? "its job or occurrence is over"
                 : "its job has no such task here") +
           " task=" + Describe(run) +
           " how=" + std::to_string(static_cast<int>(reason)) +
           " finished_occurrences=" + std::to_string(job.finished_occurrences);
  };
  if (over) {
    ++state_.counts.ends_after_their_job;
    LogRequest(LogPart::kPlacer, run.task.job.value(), line);
  } else {
    ++state_.counts.ends_of_unknown_tasks;
    LogWarning(LogPart::kPlacer, line());
  }
}

// The members of a gang that is done end by themselves, but a start that is
// still being repeated would begin its task anew.
void RunManager::StopUnconfirmedRuns(const TrackedStep& step) {
  for (const TrackedTask& task : step.tasks) {
    for (const std::uint64_t id : task.runs) {
      Run* const run = state_.runs.Find(id);
      if (run != nullptr && !run->acknowledged) state_.runs.RequestStop(*run);
    }
  }
}

void RunManager::StopToMove(std::uint64_t run_id) {
  Run* const run = state_.runs.Find(run_id);
  if (run == nullptr) return;
  TrackedJob* const job = state_.FindJob(run->key.task.job);
  if (job != nullptr && job->spec(run->key.task.step).gang) {
    StopTaskRuns(*job, run->key.task, true);
  } else {
    state_.runs.RequestStop(*run);
  }
}

void RunManager::StopTaskRuns(TrackedJob& job, const TaskKey& key,
                              bool whole_step) {
  TrackedStep& step = *job.FindStep(key.occurrence, key.step);
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (!whole_step && i != key.index) continue;
    for (const std::uint64_t id : step.tasks[i].runs) {
      if (Run* const run = state_.runs.Find(id)) state_.runs.RequestStop(*run);
    }
  }
}

}  // namespace chivewing
