#include "dispatch/job_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "dispatch/crash_policy.h"
#include "dispatch/job_limits.h"
#include "dispatch/job_urgency.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Each fence has its own range of run numbers above those of earlier fences, so
// that a run never gets the number of one that an earlier dispatcher has
// started.
constexpr std::uint64_t kRunNumbersPerFence = 1000;

// Repeating jobs and long-running steps keep their place by their acceptance.
bool HasObjective(const TrackedJob& job, std::size_t step) {
  return job.record.spec.repeats == 0 && !job.spec(step).long_running;
}

}  // namespace

void JobManager::Add(TimePoint accepted_at, JobRecord record,
                     const std::optional<JobProgress>& progress,
                     bool may_have_runs, bool uncertain) {
  const JobId id = record.id;
  if (state_.jobs.contains(id)) return;
  TrackedJob& job = state_.jobs[id];
  job.record = std::move(record);
  job.accepted_at = accepted_at;
  job.due = job.accepted_at + JobObjective(job.record);
  job.useless_after = job.accepted_at + JobUsefulTime(job.record);
  if (progress) job.set_progress(*progress);
  if (IsFinal(job.state)) return;
  state_.active_jobs.insert(id);
  if (job.record.spec.repeats == 0) {
    job.OpenOccurrence(0);
  } else {
    state_.repeating_jobs.insert(id);
  }
  job.uncertain = uncertain;
  if (!uncertain) ResolveNotedStarts(job);
  if (may_have_runs)
    job.run_number_floor = kRunNumbersPerFence * (state_.fence - 1);
  RefreshReadySteps(job);
}

void JobManager::Cancel(const JobId& id) {
  TrackedJob* const job = state_.FindJob(id);
  if (job == nullptr || job->cancelled || IsFinal(job->state)) return;
  job->cancelled = true;
  Finish(*job, JobPhase::kCancelled);
}

void JobManager::Remove(const JobId& id) {
  TrackedJob* const job = state_.FindJob(id);
  if (job == nullptr) return;
  for (const auto& [number, steps] : job->occurrences) {
    for (std::size_t s = 0; s < steps.size(); ++s) {
      state_.ready.Clear({id, number, s});
    }
  }
  state_.dirty.Remove(id);
  state_.active_jobs.erase(id);
  state_.repeating_jobs.erase(id);
  state_.jobs.erase(id);
}

void JobManager::RefreshReadySteps(TrackedJob& job) {
  for (const auto& [number, steps] : job.occurrences) {
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const StepKey key{job.record.id, number, s};
      const bool wanted = job.IsActive() && job.IsDue(number) &&
                          job.ArePredecessorsDone(number, s) &&
                          (!job.WaitingTasks(number, s).empty() ||
                           !state_.TasksToCopy(key).empty());
      if (!wanted) {
        state_.ready.Clear(key);
        continue;
      }
      if (const ReadyStepKey* const known = state_.ready.Find(key)) {
        state_.ready.Set(*known, job);
        continue;
      }
      state_.ready.Set(
          {.priority = job.record.queue.priority, .due = job.due, .step = key},
          job);
      if (HasObjective(job, s)) urgency_checks_.insert({TimePoint{}, key});
    }
  }
}

std::optional<milliseconds> JobManager::OpenDueOccurrences(milliseconds wall) {
  std::optional<milliseconds> next;
  for (const JobId& id : state_.repeating_jobs) {
    TrackedJob& job = *state_.FindJob(id);
    if (!job.IsActive()) continue;
    bool opened = false;
    for (std::size_t k = job.finished_occurrences; k < job.OccurrenceCount();
         ++k) {
      if (job.occurrences.contains(k) && job.IsDue(k)) continue;
      const milliseconds due = job.DueTime(k);
      if (due > wall && !job.IsDue(k)) {
        next = std::min(next.value_or(due), due);
        break;
      }
      job.due_occurrences = std::max(job.due_occurrences, k + 1);
      if (job.occurrences.size() >= kMaxOpenOccurrences &&
          !job.occurrences.contains(k))
        break;
      job.OpenOccurrence(k);
      opened = true;
    }
    if (opened) RefreshReadySteps(job);
  }
  return next;
}

void JobManager::Reprioritize(TimePoint now) {
  while (!urgency_checks_.empty() && urgency_checks_.begin()->first <= now) {
    const StepKey step =
        urgency_checks_.extract(urgency_checks_.begin()).value().second;
    const ReadyStepKey* const known = state_.ready.Find(step);
    if (known == nullptr) continue;
    TrackedJob& job = *state_.FindJob(step.job);
    const JobUrgency urgency = UrgencyAt(now, job, step.occurrence);
    ReadyStepKey key = *known;
    key.useless = urgency == JobUrgency::kUseless;
    key.late = urgency != JobUrgency::kInTime;
    if (key != *known) state_.ready.Set(key, job);
    const TimePoint next = NextUrgencyChange(now, job, step.occurrence);
    if (next != TimePoint::max()) urgency_checks_.insert({next, step});
  }
}

void JobManager::OnTaskStarted(TrackedJob& job) {
  if (job.state != JobPhase::kQueued) return;
  job.state = JobPhase::kRunning;
  state_.dirty.Mark(job.record.id);
}

void JobManager::OnTaskDone(TrackedJob& job, std::size_t occurrence) {
  state_.dirty.Mark(job.record.id);
  std::vector<TrackedStep>& steps = job.occurrences[occurrence];
  for (std::size_t s = 0; s < steps.size(); ++s) {
    if (!job.IsStepDone(occurrence, s)) {
      RefreshReadySteps(job);
      return;
    }
  }
  while (job.finished_occurrences < job.OccurrenceCount()) {
    const std::size_t number = job.finished_occurrences;
    const auto found = job.occurrences.find(number);
    if (found == job.occurrences.end()) break;
    const std::vector<TrackedStep>& list = found->second;
    bool all_done = true;
    for (std::size_t s = 0; s < list.size(); ++s) {
      all_done = all_done && job.IsStepDone(number, s);
    }
    if (!all_done) break;
    ++job.finished_occurrences;
    if (job.record.spec.repeats == 0) continue;
    for (std::size_t s = 0; s < list.size(); ++s) {
      state_.ready.Clear({job.record.id, number, s});
    }
    job.occurrences.erase(found);
  }
  if (job.finished_occurrences == job.OccurrenceCount()) {
    Finish(job, JobPhase::kCompleted);
    return;
  }
  RefreshReadySteps(job);
}

void JobManager::OnTaskFailed(TrackedJob& job, const TaskKey& task,
                              const TaskProgress& progress) {
  state_.dirty.Mark(job.record.id);
  if (job.spec(task.step).long_running) return;
  if (progress.failed_runs.size() < job.record.queue.max_attempts) return;
  if (!job.IsActive()) return;
  Finish(job, JobPhase::kFailed);
}

void JobManager::OnWorkerCrashed(TrackedJob& job, const TaskKey& task) {
  TrackedTask* const tracked = job.FindTask(task);
  if (tracked == nullptr || tracked->progress.done || !job.IsActive()) return;
  ++state_.counts.suspected_crashes;
  ++tracked->progress.crashes;
  ++job.suspicions;
  state_.dirty.Mark(job.record.id);
  LogRequest(LogPart::kPlacer, job.record.id.value(), [&] {
    return "worker crashed soon after it started a task job=" +
           job.record.id.value() + " step=" + std::to_string(task.step) +
           " task=" + std::to_string(task.index) +
           " crashes=" + std::to_string(tracked->progress.crashes) +
           " isolated_starts=" +
           std::to_string(tracked->progress.isolated_starts);
  });
}

void JobManager::ForgetCrash(TrackedJob& job, const TaskKey& task) {
  TrackedTask* const tracked = job.FindTask(task);
  if (tracked == nullptr || tracked->progress.crashes == 0) return;
  --tracked->progress.crashes;
  ++job.suspicions;
  state_.dirty.Mark(job.record.id);
}

void JobManager::NoteStart(TrackedJob& job, TrackedTask& task, bool isolated) {
  TaskProgress& progress = task.progress;
  const bool replaces_unused = task.next_start_noted && progress.noted_start;
  if (replaces_unused && progress.noted_start->isolated)
    --progress.isolated_starts;
  task.next_start_noted = true;
  progress.noted_start = NotedStart{.isolated = isolated};
  if (isolated) ++progress.isolated_starts;
  ++job.suspicions;
  state_.dirty.Mark(job.record.id);
}

void JobManager::SetNotedWorker(TrackedJob& job, TrackedTask& task,
                                const TrackedWorker& worker) {
  if (!task.next_start_noted || !task.progress.noted_start) return;
  NotedStart& start = *task.progress.noted_start;
  start.worker = worker.registration().worker;
  start.incarnation_start = worker.incarnation_start;
  task.next_start_noted = false;
  state_.dirty.Mark(job.record.id);
}

void JobManager::ForgetIsolatedStart(TrackedJob& job, TrackedTask& task) {
  if (task.progress.isolated_starts == 0) return;
  --task.progress.isolated_starts;
  task.progress.noted_start.reset();
  ++job.suspicions;
  state_.dirty.Mark(job.record.id);
}

void JobManager::ClearSuspicion(TrackedJob& job, TrackedTask& task) {
  const bool clear = task.progress.crashes == 0 &&
                     task.progress.isolated_starts == 0 &&
                     !task.progress.noted_start;
  if (clear) return;
  task.progress.crashes = 0;
  task.progress.isolated_starts = 0;
  task.progress.noted_start.reset();
  task.next_start_noted = false;
  ++job.suspicions;
  state_.dirty.Mark(job.record.id);
}

void JobManager::OnSuspicionsSaved(const JobId& id, std::size_t suspicions) {
  TrackedJob* const job = state_.FindJob(id);
  if (job == nullptr) return;
  job->suspicions_saved = std::max(job->suspicions_saved, suspicions);
  if (job->IsActive()) RefreshReadySteps(*job);
}

void JobManager::GiveUp(TrackedJob& job, const TaskKey& task) {
  ++state_.counts.tasks_given_up;
  const TaskProgress& progress = job.FindTask(task)->progress;
  LogWarning(
      LogPart::kPlacer,
      "giving up a job whose task crashes worker after worker job=" +
          job.record.id.value() + " step=" + std::to_string(task.step) +
          " task=" + std::to_string(task.index) +
          " crashes=" + std::to_string(progress.crashes) +
          " isolated_starts=" + std::to_string(progress.isolated_starts));
  Finish(job, JobPhase::kFailed);
}

void JobManager::Finish(TrackedJob& job, JobPhase state) {
  job.state = state;
  state_.dirty.Mark(job.record.id);
  state_.active_jobs.erase(job.record.id);
  state_.repeating_jobs.erase(job.record.id);
  LogRequest(LogPart::kPlacer, job.record.id.value(), [&] {
    return "job=" + job.record.id.value() +
           " ended state=" + std::string(Name(state));
  });
  RefreshReadySteps(job);
  StopRuns(job);
}

void JobManager::StopRuns(const TrackedJob& job) {
  for (const auto& [number, steps] : job.occurrences) {
    for (const TrackedStep& step : steps) {
      for (const TrackedTask& task : step.tasks) {
        for (const std::uint64_t id : task.runs) {
          Run* const run = state_.runs.Find(id);
          if (run == nullptr || !state_.runs.RequestStop(*run)) continue;
          if (!run->acknowledged) ++state_.counts.unconfirmed_runs_stopped;
        }
      }
    }
  }
}

void JobManager::ClearUncertainty() {
  for (const JobId& id : state_.active_jobs) {
    ++state_.counts.jobs_examined;
    TrackedJob& job = *state_.FindJob(id);
    if (!job.uncertain) continue;
    job.uncertain = false;
    ResolveNotedStarts(job);
    if (state_.lost_unseen_worker) SuspectUnseenRuns(job);
    StopPartialGangs(job);
    RefreshReadySteps(job);
  }
  state_.ready.WakeAll();
}

void JobManager::ResolveNotedStarts(TrackedJob& job) {
  for (auto& [number, steps] : job.occurrences) {
    for (TrackedStep& step : steps) {
      for (TrackedTask& task : step.tasks) {
        const bool open = task.progress.noted_start && task.runs.empty() &&
                          !task.progress.done && !task.next_start_noted;
        if (open) ResolveNotedStart(job, task);
      }
    }
  }
}

// A start whose worker goes on without it was not made. One without a worker
// was still waiting for one, or was made a moment before its dispatcher ended.
void JobManager::ResolveNotedStart(TrackedJob& job, TrackedTask& task) {
  const NotedStart start = *task.progress.noted_start;
  task.progress.noted_start.reset();
  const bool made = !start.worker.empty() &&
                    !IsRunningSince(start.worker, start.incarnation_start);
  if (made) ++task.progress.crashes;
  if (!made && start.isolated && task.progress.isolated_starts > 0)
    --task.progress.isolated_starts;
  ++job.suspicions;
  state_.dirty.Mark(job.record.id);
  LogRequest(LogPart::kPlacer, job.record.id.value(), [&] {
    return "start noted by an earlier dispatcher job=" + job.record.id.value() +
           " worker=" + start.worker.value() +
           " crashed=" + (made ? "1" : "0") +
           " crashes=" + std::to_string(task.progress.crashes) +
           " isolated_starts=" + std::to_string(task.progress.isolated_starts);
  });
}

bool JobManager::IsRunningSince(const WorkerId& id,
                                milliseconds incarnation_start) const {
  const auto found = state_.workers.find(id);
  if (found == state_.workers.end()) return false;
  const TrackedWorker& worker = found->second;
  return worker.synced && !worker.IsUnresponsive() &&
         worker.incarnation_start == incarnation_start;
}

// Their next start is noted; more than that takes a crash that has been seen.
// Not members of gangs: their crashes count towards giving the gang up.
void JobManager::SuspectUnseenRuns(TrackedJob& job) {
  if (job.state != JobPhase::kRunning) return;
  for (auto& [number, steps] : job.occurrences) {
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const bool startable =
          job.IsDue(number) && job.ArePredecessorsDone(number, s);
      if (!startable || job.spec(s).gang) continue;
      for (TrackedTask& task : steps[s].tasks) {
        if (task.progress.done || !task.runs.empty()) continue;
        if (task.progress.crashes > 0) continue;
        task.progress.crashes = 1;
        ++job.suspicions;
      }
    }
  }
}

// Stops the runs of gangs of which an earlier dispatcher started only a part.
void JobManager::StopPartialGangs(TrackedJob& job) {
  for (auto& [number, steps] : job.occurrences) {
    for (std::size_t s = 0; s < steps.size(); ++s) {
      if (!job.spec(s).gang) continue;
      std::size_t running = 0;
      for (const TrackedTask& task : steps[s].tasks) {
        if (!task.runs.empty()) ++running;
      }
      if (running == 0 || running == steps[s].tasks.size()) continue;
      for (const TrackedTask& task : steps[s].tasks) {
        for (const std::uint64_t id : task.runs) {
          if (Run* const run = state_.runs.Find(id)) {
            state_.runs.RequestStop(*run);
          }
        }
      }
    }
  }
}

}  // namespace chivewing
