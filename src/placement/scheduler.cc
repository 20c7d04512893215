#include "placement/scheduler.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <vector>

#include "placement/check.h"
#include "placement/job_rank.h"
#include "placement/placer_state.h"
#include "placement/preemption.h"
#include "placement/reservation_plan.h"

namespace chivewing {
namespace {

// An equivalence class with jobs to try, ranked by its first job.
struct RankedClass {
  JobRank rank;
  WaitingJobQueue::EquivalenceClasses::iterator job_class;
};

struct RankedLater {
  bool operator()(const RankedClass& a, const RankedClass& b) const {
    return b.rank < a.rank;
  }
};

using ClassHeap =
    std::priority_queue<RankedClass, std::vector<RankedClass>, RankedLater>;

}  // namespace

std::optional<BatchId> Scheduler::Decide(TimePoint now, std::size_t max_starts,
                                         Effects& effects) {
  now_ = now;
  starts_left_ = max_starts;
  batch_ = state_.next_batch_id;
  RequeueJobsAfterBackoff(now);
  TickHealth(now, effects);
  PlaceWaitingJobs(effects);
  if (!state_.batches.contains(batch_)) return std::nullopt;
  ++state_.next_batch_id;
  return batch_;
}

void Scheduler::RequeueJobsAfterBackoff(TimePoint now) {
  auto& in_backoff = state_.jobs_in_backoff;
  while (!in_backoff.empty() && in_backoff.begin()->first <= now) {
    const JobIndex job = state_.jobs.Find(in_backoff.begin()->second);
    in_backoff.erase(in_backoff.begin());
    if (job != kNoIndex) state_.UpdateQueueMembership(now, job);
  }
}

void Scheduler::TickHealth(TimePoint now, Effects& effects) {
  const std::size_t first = effects.size();
  state_.health.Tick(now, effects);
  state_.ApplyQuarantineChanges(effects, first);
}

void Scheduler::PlaceWaitingJobs(Effects& effects) {
  state_.queue.RemoveEmptyClasses();
  WaitingJobQueue::EquivalenceClasses& classes = state_.queue.classes();
  ClassHeap heap;
  const auto push =
      [this, &heap](WaitingJobQueue::EquivalenceClasses::iterator job_class) {
        const JobSpec& first =
            state_.jobs.at(job_class->second.positions.begin()->job).spec;
        const Duration run_time = state_.ExpectedRunTime(first);
        heap.push(
            {ComputeJobRank(first, run_time, now_, state_.options), job_class});
      };
  for (auto job_class = classes.begin(); job_class != classes.end();
       ++job_class) {
    if (MayFit(job_class->first, job_class->second)) push(job_class);
  }
  while (!heap.empty() && starts_left_ > 0) {
    const auto job_class = heap.top().job_class;
    heap.pop();
    const Outcome outcome =
        PlaceFirstJob(job_class->first, job_class->second, effects);
    if (outcome != Outcome::kPlaced) continue;
    if (!job_class->second.positions.empty()) push(job_class);
  }
}

bool Scheduler::MayFit(const EquivalenceClassKey& key,
                       EquivalenceClass& job_class) const {
  if (job_class.no_fit_resources_version == 0) return true;
  if (job_class.no_fit_worker_set_version !=
      state_.workers.worker_set_version())
    return true;
  const bool single_tasks =
      key.gang_tasks == 0 && !key.urgent && key.job.empty();
  if (!single_tasks) return true;
  if (CanReserve(job_class.positions.begin()->job)) return true;
  if (state_.workers.MayFitSince(job_class.no_fit_resources_version,
                                 key.per_task))
    return true;
  job_class.no_fit_resources_version = state_.workers.free_resources_version();
  return false;
}

Scheduler::Outcome Scheduler::PlaceFirstJob(const EquivalenceClassKey& key,
                                            EquivalenceClass& job_class,
                                            Effects& effects) {
  const JobIndex index = job_class.positions.begin()->job;
  if (key.gang_tasks > 0) return PlaceGang(index, effects);

  const Outcome outcome = PlaceTasks(index, effects);
  if (outcome == Outcome::kNoFit) {
    ReportIfUnplaceable(index, effects);
    Reserve(index, effects);
    job_class.no_fit_resources_version =
        state_.workers.free_resources_version();
    job_class.no_fit_worker_set_version = state_.workers.worker_set_version();
  }
  return outcome;
}

Scheduler::Outcome Scheduler::PlaceTasks(JobIndex index, Effects& effects) {
  const Job& job = state_.jobs.at(index);
  for (int missing = state_.MissingTasks(job); missing > 0; --missing) {
    if (starts_left_ == 0) return Outcome::kBlocked;
    if (state_.options.enforce_quota &&
        !state_.quotas.Allows(job.spec.owner, job.spec.per_task)) {
      return Outcome::kBlocked;
    }
    const WorkerIndex worker = FindWorker(index, effects);
    if (worker == kNoIndex) return Outcome::kNoFit;
    StartTaskOn(index, worker, effects);
  }
  state_.UpdateQueueMembership(now_, index);
  return Outcome::kPlaced;
}

Scheduler::Outcome Scheduler::PlaceGang(JobIndex index, Effects& effects) {
  const JobSpec& spec = state_.jobs.at(index).spec;
  if (state_.options.enforce_quota &&
      !state_.quotas.Allows(spec.owner, spec.per_task * spec.tasks)) {
    return Outcome::kBlocked;
  }
  if (GangFits(index)) {
    state_.reservations.Remove(index);
    StartGang(index, effects);
    return Outcome::kPlaced;
  }
  ReportIfUnplaceable(index, effects);
  Reserve(index, effects);
  return Outcome::kNoFit;
}

bool Scheduler::GangFits(JobIndex index) const {
  const JobSpec& spec = state_.jobs.at(index).spec;
  std::int64_t count =
      CountFittingTasks(state_.workers, spec.per_task, spec.tasks);
  const Reservation* own = state_.reservations.Find(index);
  if (own == nullptr) return count >= spec.tasks;
  for (const auto& [worker, tasks] : own->tasks_by_worker) {
    if (!state_.workers.Has(worker) || !state_.workers.AcceptsTasks(worker))
      continue;
    const Resources& free = state_.workers.free_resources()[worker].free;
    const Resources with_reservation = free + spec.per_task * tasks;
    count += CountFits(spec.per_task, with_reservation) -
             CountFits(spec.per_task, free);
  }
  return count >= spec.tasks;
}

void Scheduler::StartGang(JobIndex index, Effects& effects) {
  const JobSpec& spec = state_.jobs.at(index).spec;
  WorkerDemand demand;
  demand.resources = spec.per_task;
  int missing = spec.tasks;
  while (missing > 0) {
    const WorkerIndex worker =
        ChooseWorker(state_.workers, demand, state_.options);
    Check(worker != kNoIndex,
          "a gang does not fit although enough free resources were counted");
    // Filling the chosen worker first takes fewer scans and fewer workers.
    while (missing > 0 &&
           Fits(spec.per_task, state_.workers.free_resources()[worker].free)) {
      StartTaskOn(index, worker, effects);
      --missing;
    }
  }
  state_.UpdateQueueMembership(now_, index);
}

bool Scheduler::CanReserve(JobIndex index) const {
  const PlacerOptions& options = state_.options;
  const Job& job = state_.jobs.at(index);
  if (!options.reservation || job.spec.spread || job.unplaceable) return false;
  if (now_ < next_plan_time_ || now_ < job.next_plan_time) return false;
  const bool gang = job.spec.job_class == JobClass::kGang;
  const bool has_own = state_.reservations.Find(index) != nullptr;
  if (job.spec.urgent) return gang;
  if (now_ - job.spec.submitted < options.reservation_delay) return false;
  return has_own || state_.reservations.all().size() < options.max_reservations;
}

void Scheduler::Reserve(JobIndex index, Effects& effects) {
  if (!CanReserve(index)) return;
  const PlacerOptions& options = state_.options;
  Job& job = state_.jobs.at(index);
  const Reservation* known = state_.reservations.Find(index);
  const TimePoint made_at = known == nullptr ? now_ : known->created_at;
  state_.reservations.Remove(index);
  next_plan_time_ = now_ + options.plan_interval;
  const bool gang = job.spec.job_class == JobClass::kGang;
  auto plan = PlanReservation(state_, now_, index, gang ? job.spec.tasks : 1);
  job.next_plan_time =
      now_ + (plan ? options.replan_interval : options.failed_plan_interval);
  if (!plan) return;
  plan->created_at = made_at;
  state_.reservations.Add(*plan);
  if (job.spec.urgent && options.preemption)
    PreemptForReservation(*plan, effects);
}

void Scheduler::PreemptForReservation(const Reservation& reservation,
                                      Effects& effects) {
  const JobSpec& spec = state_.jobs.at(reservation.job).spec;
  for (const auto& [index, tasks] : reservation.tasks_by_worker) {
    const Resources needed = spec.per_task * tasks;
    // The hold of the reservation is already subtracted from the free
    // resources, so it is added back.
    Resources available = state_.workers.free_resources()[index].free + needed;
    for (const TaskIndex victim : PreemptibleTasksOn(state_, index, spec)) {
      if (Fits(needed, available)) break;
      available += state_.tasks.at(victim).resources;
      state_.RequestTaskStop(now_, victim, StopMode::kCheckpoint,
                             "preempted by job " + spec.id.value(), effects);
    }
  }
}

WorkerIndex Scheduler::FindReservedWorker(JobIndex index) const {
  const Reservation* own = state_.reservations.Find(index);
  if (own == nullptr) return kNoIndex;
  for (const auto& [worker, tasks] : own->tasks_by_worker) {
    if (!state_.workers.Has(worker) || !state_.workers.AcceptsTasks(worker))
      continue;
    const Resources available =
        state_.workers.free_resources()[worker].free + own->per_task * tasks;
    if (Fits(own->per_task, available)) return worker;
  }
  return kNoIndex;
}

WorkerIndex Scheduler::FindWorker(JobIndex index, Effects& effects) {
  const Job& job = state_.jobs.at(index);
  WorkerDemand demand;
  demand.resources = job.spec.per_task;
  if (!job.avoided_workers.empty())
    demand.avoided_workers = &job.avoided_workers;
  if (job.spec.spread && state_.options.spread) {
    demand.rack_instances = &job.rack_instances;
    demand.rack_limit = MaxInstancesPerRack(job);
  }
  const WorkerIndex worker =
      ChooseWorker(state_.workers, demand, state_.options);
  if (worker != kNoIndex) return worker;
  const WorkerIndex reserved = FindReservedWorker(index);
  if (reserved != kNoIndex) {
    state_.reservations.Remove(index);
    return reserved;
  }
  if (job.spec.urgent) return FindWorkerForUrgentTask(index, effects);
  return FindBackfillWorker(job);
}

WorkerIndex Scheduler::FindBackfillWorker(const Job& job) const {
  const Duration run_time = state_.ExpectedRunTime(job.spec);
  const bool is_finite =
      job.spec.job_class == JobClass::kBatch && run_time > Duration(0);
  if (!is_finite || job.spec.spread) return kNoIndex;
  for (const Reservation& reservation : state_.reservations.all()) {
    if (now_ + run_time > reservation.expected_start) continue;
    const Duration reserved_for = now_ - reservation.created_at;
    if (reserved_for >= state_.options.backfill_limit) continue;
    for (const auto& [index, tasks] : reservation.tasks_by_worker) {
      if (!state_.workers.Has(index) || !state_.workers.AcceptsTasks(index))
        continue;
      const Resources available = state_.workers.free_resources()[index].free +
                                  reservation.per_task * tasks;
      if (Fits(job.spec.per_task, available)) return index;
    }
  }
  return kNoIndex;
}

WorkerIndex Scheduler::FindWorkerForUrgentTask(JobIndex index,
                                               Effects& effects) {
  const Job& job = state_.jobs.at(index);
  const Resources& demand = job.spec.per_task;
  std::int64_t claim_count = 0;
  for (std::size_t claim = 0; claim < state_.claims.size(); ++claim) {
    const PreemptionClaim& known = state_.claims[claim];
    if (known.job != index) continue;
    ++claim_count;
    const Worker& worker = state_.workers.at(known.worker);
    const Resources available = worker.spec.capacity - worker.reserved -
                                worker.preemption_hold + known.amount;
    if (!Fits(demand, available)) continue;
    const WorkerIndex chosen = known.worker;
    state_.RemoveClaim(claim);
    return chosen;
  }
  // Urgent tasks may use reserved resources.
  for (WorkerIndex candidate = 0; candidate < state_.workers.end_index();
       ++candidate) {
    if (!state_.workers.Has(candidate) ||
        !state_.workers.AcceptsTasks(candidate))
      continue;
    const Resources& hold = state_.workers.at(candidate).reservation_hold;
    if (Fits(demand, state_.workers.free_resources()[candidate].free + hold))
      return candidate;
  }
  if (!state_.options.preemption) return kNoIndex;
  for (; claim_count < state_.MissingTasks(job); ++claim_count) {
    const auto plan = PlanPreemption(state_, job.spec);
    if (!plan) break;
    for (const TaskIndex victim : plan->tasks) {
      state_.RequestTaskStop(now_, victim, StopMode::kCheckpoint,
                             "preempted by job " + job.spec.id.value(),
                             effects);
    }
    state_.AddClaim({index, plan->worker, demand});
  }
  return kNoIndex;
}

int Scheduler::MaxInstancesPerRack(const Job& job) const {
  const auto racks = static_cast<double>(state_.CountUsableRacks());
  const double even_share = job.spec.tasks / std::max(1.0, racks);
  const double limit = std::ceil(even_share * state_.options.max_rack_share);
  return std::max(1, static_cast<int>(limit));
}

void Scheduler::StartTaskOn(JobIndex index, WorkerIndex worker,
                            Effects& effects) {
  const JobSpec& spec = state_.jobs.at(index).spec;
  Task task;
  task.id = state_.NewTaskId(spec.id);
  task.job = index;
  task.entry = spec.entry;
  task.owner = spec.owner;
  task.worker = worker;
  task.resources = spec.per_task;
  task.batch = batch_;
  task.state_since = now_;
  task.start_time = now_;
  effects.emplace_back(
      CommitTaskRow{batch_, task.id, spec.id, spec.entry, spec.owner,
                    state_.workers.at(worker).spec.id, spec.per_task});
  const TaskIndex started =
      state_.AddTask(std::move(task), /*allow_overcommit=*/false);
  state_.batches[batch_].tasks.push_back(started);
  state_.jobs.at(index).unplaceable = false;
  if (starts_left_ > 0) --starts_left_;
  if (spec.urgent) state_.TrimClaims(index);
}

void Scheduler::ReportIfUnplaceable(JobIndex index, Effects& effects) {
  Job& job = state_.jobs.at(index);
  if (job.checked_worker_set_version == state_.workers.worker_set_version())
    return;
  job.checked_worker_set_version = state_.workers.worker_set_version();
  const std::string reason = state_.ExplainNeverFits(job.spec);
  const bool unplaceable = !reason.empty();
  if (unplaceable && !job.unplaceable) {
    effects.emplace_back(
        JobUnplaceable{job.spec.id, ResultCode::kNeverFits, reason});
  }
  job.unplaceable = unplaceable;
}

}  // namespace chivewing
