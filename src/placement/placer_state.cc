#include "placement/placer_state.h"

#include <algorithm>
#include <limits>

#include "placement/check.h"

namespace chivewing {
namespace {

// Minimum remaining time expected of a task without a known end.
constexpr Duration kMinRemainingTime = std::chrono::seconds(60);

bool IsLongRunning(JobClass job_class) {
  return job_class == JobClass::kService || job_class == JobClass::kSingleton;
}

}  // namespace

PlacerState::PlacerState(PlacerOptions placer_options,
                         std::uint64_t lease_epoch)
    : options(placer_options),
      epoch(lease_epoch),
      health(placer_options.health) {}

TaskIndex PlacerState::AddTask(Task task, bool allow_overcommit) {
  const TaskId id = task.id;
  const TaskIndex index = tasks.Add(id, std::move(task));
  const Task& added = tasks.at(index);
  if (allow_overcommit) {
    workers.ReserveUnchecked(added.worker, index, added.resources);
  } else {
    workers.Reserve(added.worker, index, added.resources);
  }
  quotas.Add(added.owner, added.resources);
  if (added.job == kNoIndex) return index;
  Job& job = jobs.at(added.job);
  job.tasks.push_back(index);
  AdjustInstanceCount(job, added.worker, 1);
  return index;
}

void PlacerState::FinishTask(TaskIndex task) {
  const Task& ended = tasks.at(task);
  workers.Release(ended.worker, task, ended.resources);
  quotas.Subtract(ended.owner, ended.resources);
  if (ended.job != kNoIndex) {
    Job& job = jobs.at(ended.job);
    const auto position = std::find(job.tasks.begin(), job.tasks.end(), task);
    Check(position != job.tasks.end(),
          "a task that ended is missing from the list of its job");
    *position = job.tasks.back();
    job.tasks.pop_back();
    if (!ended.replaced) AdjustInstanceCount(job, ended.worker, -1);
  }
  const TaskId id = ended.id;
  tasks.Remove(id);
}

void PlacerState::MarkReplaced(TaskIndex task) {
  Task& known = tasks.at(task);
  if (known.replaced || known.job == kNoIndex) return;
  known.replaced = true;
  AdjustInstanceCount(jobs.at(known.job), known.worker, -1);
}

void PlacerState::UnmarkReplaced(TaskIndex task) {
  Task& known = tasks.at(task);
  if (!known.replaced || known.job == kNoIndex) return;
  known.replaced = false;
  AdjustInstanceCount(jobs.at(known.job), known.worker, 1);
}

void PlacerState::AdjustInstanceCount(Job& job, WorkerIndex worker,
                                      int change) {
  job.active_instances += change;
  if (!job.spec.spread) return;
  const RackIndex rack = workers.at(worker).rack;
  if (job.rack_instances.size() <= rack) job.rack_instances.resize(rack + 1);
  job.rack_instances[rack] += change;
}

int PlacerState::MissingTasks(const Job& job) const {
  if (job.cancelled) return 0;
  const auto live = static_cast<int>(job.tasks.size());
  switch (job.spec.job_class) {
    case JobClass::kService:
      return std::max(0, job.spec.tasks - job.active_instances);
    case JobClass::kSingleton:
      return live == 0 ? 1 : 0;
    case JobClass::kBatch:
      return std::max(0, job.spec.tasks - job.completed_tasks - live);
    case JobClass::kGang:
      return live == 0 && job.completed_tasks < job.spec.tasks ? job.spec.tasks
                                                               : 0;
  }
  return 0;
}

void PlacerState::UpdateQueueMembership(TimePoint now, JobIndex index) {
  Job& job = jobs.at(index);
  if (job.restarting && job.tasks.empty()) {
    job.restarting = false;
    job.completed_tasks = 0;
  }
  const TimePoint backoff_until = health.BackoffUntil(job.spec.id);
  const bool in_backoff = backoff_until > now;
  const bool waits = MissingTasks(job) > 0 && !in_backoff;
  if (MissingTasks(job) > 0 && in_backoff) {
    jobs_in_backoff.emplace(backoff_until, job.spec.id);
  }
  if (waits == job.queue_position.has_value()) return;
  const EquivalenceClassKey key = WaitingJobQueue::KeyOf(job.spec);
  if (!waits) {
    reservations.Remove(index);
    RemoveClaimsOfJob(index);
    queue.Remove(key, *job.queue_position);
    job.queue_position.reset();
    return;
  }
  TimePoint queue_time = job.spec.submitted;
  if (job.spec.finish_by) {
    queue_time = *job.spec.finish_by - ExpectedRunTime(job.spec);
  }
  job.queue_position =
      WaitingJobPosition{queue_time, next_queue_sequence++, index};
  queue.Add(key, *job.queue_position);
}

void PlacerState::RemoveJob(JobIndex index) {
  Job& job = jobs.at(index);
  if (job.queue_position)
    queue.Remove(WaitingJobQueue::KeyOf(job.spec), *job.queue_position);
  reservations.Remove(index);
  RemoveClaimsOfJob(index);
  for (const TaskIndex task : job.tasks) tasks.at(task).job = kNoIndex;
  const JobId id = job.spec.id;
  health.ForgetJob(id);
  jobs.Remove(id);
}

void PlacerState::FinishJobIfDone(TimePoint now, JobIndex index,
                                  Effects& effects) {
  const Job& job = jobs.at(index);
  const bool all_done = !IsLongRunning(job.spec.job_class) &&
                        job.completed_tasks >= job.spec.tasks;
  if (!job.tasks.empty() || !(job.cancelled || all_done)) {
    UpdateQueueMembership(now, index);
    return;
  }
  effects.emplace_back(JobFinished{job.spec.id, job.cancelled});
  RemoveJob(index);
}

void PlacerState::RequestTaskStop(TimePoint now, TaskIndex task, StopMode mode,
                                  std::string_view reason, Effects& effects) {
  Task& known = tasks.at(task);
  if (known.state == TaskState::kStopping) return;
  Check(known.state != TaskState::kCommitPending,
        "cannot stop a task whose commit is unconfirmed");
  known.state = TaskState::kStopping;
  known.state_since = now;
  MarkReplaced(task);
  effects.emplace_back(StopTask{known.id, workers.at(known.worker).spec.id,
                                mode, std::string(reason)});
}

StopMode PlacerState::PreferredStopMode(const Task& task) const {
  const bool can_checkpoint =
      task.job != kNoIndex && jobs.at(task.job).spec.checkpointable;
  return can_checkpoint ? StopMode::kCheckpoint : StopMode::kStop;
}

std::optional<TimePoint> PlacerState::ExpectedEnd(TimePoint now,
                                                  const Task& task) const {
  if (task.state == TaskState::kStopping) return now;
  if (task.job == kNoIndex) return now + kMinRemainingTime;
  const JobSpec& spec = jobs.at(task.job).spec;
  if (IsLongRunning(spec.job_class)) return std::nullopt;
  const Duration run_time = ExpectedRunTime(spec);
  const TimePoint declared_end = task.start_time + run_time;
  if (run_time > Duration(0) && declared_end > now) return declared_end;
  // The task has exceeded its expected run time, so it is assumed to run as
  // long again as it already has.
  return now + std::max(kMinRemainingTime, now - task.start_time);
}

Duration PlacerState::ExpectedRunTime(const JobSpec& job) const {
  return statistics.ExpectedRunTime(job.entry, job.run_time);
}

void PlacerState::AddClaim(PreemptionClaim claim) {
  claims.push_back(claim);
  UpdatePreemptionHold(claim.worker);
}

void PlacerState::RemoveClaim(std::size_t claim) {
  const WorkerIndex worker = claims[claim].worker;
  claims.erase(claims.begin() + static_cast<std::ptrdiff_t>(claim));
  UpdatePreemptionHold(worker);
}

void PlacerState::RemoveClaimsOfJob(JobIndex job) {
  std::vector<WorkerIndex> affected;
  for (const PreemptionClaim& claim : claims) {
    if (claim.job == job) affected.push_back(claim.worker);
  }
  std::erase_if(claims, [job](const auto& claim) { return claim.job == job; });
  for (const WorkerIndex worker : affected) UpdatePreemptionHold(worker);
}

void PlacerState::TrimClaims(JobIndex job) {
  int kept = MissingTasks(jobs.at(job));
  for (std::size_t claim = 0; claim < claims.size();) {
    const bool surplus = claims[claim].job == job && kept-- <= 0;
    if (surplus) {
      RemoveClaim(claim);
    } else {
      ++claim;
    }
  }
}

void PlacerState::RemoveClaimsOnWorker(WorkerIndex worker) {
  std::erase_if(claims, [worker](const PreemptionClaim& claim) {
    return claim.worker == worker;
  });
  UpdatePreemptionHold(worker);
}

void PlacerState::UpdatePreemptionHold(WorkerIndex worker) {
  if (!workers.Has(worker)) return;
  Resources hold;
  for (const PreemptionClaim& claim : claims) {
    if (claim.worker == worker) hold += claim.amount;
  }
  workers.SetPreemptionHold(worker, hold);
}

void PlacerState::ApplyQuarantineChanges(const Effects& effects,
                                         std::size_t first) {
  for (std::size_t index = first; index < effects.size(); ++index) {
    if (const auto* quarantined =
            std::get_if<WorkerQuarantined>(&effects[index])) {
      const WorkerIndex worker = workers.Find(quarantined->worker);
      workers.SetQuarantined(worker, true);
      RemoveClaimsOnWorker(worker);
    }
    if (const auto* readmitted =
            std::get_if<WorkerReadmitted>(&effects[index])) {
      workers.SetQuarantined(workers.Find(readmitted->worker), false);
    }
  }
}

void PlacerState::RecordTaskFailure(TimePoint now, const Task& task,
                                    Effects& effects) {
  if (task.job == kNoIndex) return;
  Job& job = jobs.at(task.job);
  std::erase(job.avoided_workers, task.worker);
  job.avoided_workers.push_back(task.worker);
  const std::size_t first = effects.size();
  health.RecordFailure(now, workers.at(task.worker).spec.id, job.spec.id,
                       CountLiveWorkers(), effects);
  ApplyQuarantineChanges(effects, first);
}

void PlacerState::RecordTaskSuccess(const Task& task) {
  if (task.job == kNoIndex) return;
  Job& job = jobs.at(task.job);
  std::erase(job.avoided_workers, task.worker);
  health.RecordSuccess(workers.at(task.worker).spec.id, job.spec.id);
}

void PlacerState::RemoveFromAvoidedWorkers(WorkerIndex worker) {
  for (JobIndex index = 0; index < jobs.end_index(); ++index) {
    if (jobs.Has(index)) std::erase(jobs.at(index).avoided_workers, worker);
  }
}

TaskId PlacerState::NewTaskId(const JobId& job) {
  return TaskId(job.value() + "." + std::to_string(epoch) + "." +
                std::to_string(next_task_number++));
}

std::size_t PlacerState::CountLiveWorkers() const {
  std::int64_t live = 0;
  for (const CapacityCount& group : workers.live_capacities()) {
    live += group.workers;
  }
  return static_cast<std::size_t>(live);
}

std::size_t PlacerState::CountUsableRacks() const {
  std::vector<bool> usable(workers.rack_count());
  for (WorkerIndex index = 0; index < workers.end_index(); ++index) {
    if (!workers.Has(index) || !workers.AcceptsTasks(index)) continue;
    usable[workers.at(index).rack] = true;
  }
  return static_cast<std::size_t>(
      std::count(usable.begin(), usable.end(), true));
}

std::string PlacerState::ExplainNeverFits(const JobSpec& job) const {
  Resources largest;
  std::int64_t task_slots = 0;
  for (const CapacityCount& group : workers.live_capacities()) {
    if (group.workers == 0) continue;
    largest = ComponentwiseMax(largest, group.capacity);
    const std::int64_t slots_per_worker = std::min<std::int64_t>(
        CountFits(job.per_task, group.capacity), job.tasks);
    task_slots += slots_per_worker * group.workers;
  }
  if (const auto shortage = FirstShortage(job.per_task, largest)) {
    return "no live worker has enough " +
           std::string(DimensionName(*shortage)) + ": a task needs " +
           Describe(job.per_task) + ", the most in each dimension is " +
           Describe(largest);
  }
  if (task_slots == 0) {
    return "no live worker has enough in all dimensions at once: a task "
           "needs " +
           Describe(job.per_task);
  }
  if (job.job_class == JobClass::kGang && task_slots < job.tasks) {
    return "all live workers could hold " + std::to_string(task_slots) +
           " of the " + std::to_string(job.tasks) +
           " tasks at once, even when empty";
  }
  return {};
}

}  // namespace chivewing
