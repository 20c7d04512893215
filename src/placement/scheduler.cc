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

// A lane that has jobs to try, by the order of its first job.
struct OrderedLane {
  JobRank order;
  WaitingJobQueue::EquivalenceClasses::iterator lane;
};

struct LaterLane {
  bool operator()(const OrderedLane& a, const OrderedLane& b) const {
    return b.order < a.order;
  }
};

using LaneHeap =
    std::priority_queue<OrderedLane, std::vector<OrderedLane>, LaterLane>;

}  // namespace

std::optional<BatchId> Scheduler::Decide(TimePoint now, std::size_t max_starts,
                                         Effects& effects) {
  now_ = now;
  starts_left_ = max_starts;
  batch_ = state_.next_batch;
  RequeueHeldJobs(now);
  TickHealth(now, effects);
  RunLanes(effects);
  if (!state_.batches.contains(batch_)) return std::nullopt;
  ++state_.next_batch;
  return batch_;
}

void Scheduler::RequeueHeldJobs(TimePoint now) {
  auto& held = state_.held_jobs;
  while (!held.empty() && held.begin()->first <= now) {
    const JobIndex job = state_.jobs.Find(held.begin()->second);
    held.erase(held.begin());
    if (job != kNoIndex) state_.UpdateWaiting(now, job);
  }
}

void Scheduler::TickHealth(TimePoint now, Effects& effects) {
  const std::size_t first = effects.size();
  state_.health.Tick(now, effects);
  state_.ApplyHealth(effects, first);
}

void Scheduler::RunLanes(Effects& effects) {
  state_.queue.DropEmptyLanes();
  WaitingJobQueue::EquivalenceClasses& lanes = state_.queue.lanes();
  LaneHeap heap;
  const auto push =
      [this, &heap](WaitingJobQueue::EquivalenceClasses::iterator lane) {
        const JobSpec& first =
            state_.jobs.at(lane->second.places.begin()->job).spec;
        const Duration run_time = state_.ExpectedRunTime(first);
        heap.push({OrderOf(first, run_time, now_, state_.options), lane});
      };
  for (auto lane = lanes.begin(); lane != lanes.end(); ++lane) {
    if (MayFit(lane->first, lane->second)) push(lane);
  }
  while (!heap.empty() && starts_left_ > 0) {
    const auto lane = heap.top().lane;
    heap.pop();
    const Outcome outcome = PlaceFirst(lane->first, lane->second, effects);
    if (outcome != Outcome::kPlaced) continue;
    if (!lane->second.places.empty()) push(lane);
  }
}

bool Scheduler::MayFit(const EquivalenceClassKey& key,
                       EquivalenceClass& lane) const {
  if (lane.no_room_at == 0) return true;
  if (lane.fleet_then != state_.workers.worker_set_version()) return true;
  const bool plain = key.gang_tasks == 0 && !key.urgent && key.job.empty();
  if (!plain) return true;
  if (MayReserve(lane.places.begin()->job)) return true;
  if (state_.workers.MayFitSince(lane.no_room_at, key.per_task)) return true;
  lane.no_room_at = state_.workers.free_resources_version();
  return false;
}

Scheduler::Outcome Scheduler::PlaceFirst(const EquivalenceClassKey& key,
                                         EquivalenceClass& lane,
                                         Effects& effects) {
  const JobIndex index = lane.places.begin()->job;
  if (key.gang_tasks > 0) return PlaceGang(index, effects);

  const Outcome outcome = PlaceTasks(index, effects);
  if (outcome == Outcome::kNoRoom) {
    ReportUnplaceable(index, effects);
    Reserve(index, effects);
    lane.no_room_at = state_.workers.free_resources_version();
    lane.fleet_then = state_.workers.worker_set_version();
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
    if (worker == kNoIndex) return Outcome::kNoRoom;
    StartOn(index, worker, effects);
  }
  state_.UpdateWaiting(now_, index);
  return Outcome::kPlaced;
}

Scheduler::Outcome Scheduler::PlaceGang(JobIndex index, Effects& effects) {
  const JobSpec& spec = state_.jobs.at(index).spec;
  if (state_.options.enforce_quota &&
      !state_.quotas.Allows(spec.owner, spec.per_task * spec.tasks)) {
    return Outcome::kBlocked;
  }
  if (HasRoomForGang(index)) {
    state_.reservations.Drop(index);
    StartGang(index, effects);
    return Outcome::kPlaced;
  }
  ReportUnplaceable(index, effects);
  Reserve(index, effects);
  return Outcome::kNoRoom;
}

bool Scheduler::HasRoomForGang(JobIndex index) const {
  const JobSpec& spec = state_.jobs.at(index).spec;
  std::int64_t count =
      CountFittingTasks(state_.workers, spec.per_task, spec.tasks);
  const Reservation* own = state_.reservations.Find(index);
  if (own == nullptr) return count >= spec.tasks;
  for (const auto& [worker, places] : own->places) {
    if (!state_.workers.Has(worker) || !state_.workers.AcceptsTasks(worker))
      continue;
    const Resources& free = state_.workers.rooms()[worker].free;
    const Resources all = free + spec.per_task * places;
    count += CountFits(spec.per_task, all) - CountFits(spec.per_task, free);
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
    Check(worker != kNoIndex, "a gang has less room than was counted");
    // Fills the worker while it is at hand: fewer scans, fewer workers.
    while (missing > 0 &&
           Fits(spec.per_task, state_.workers.rooms()[worker].free)) {
      StartOn(index, worker, effects);
      --missing;
    }
  }
  state_.UpdateWaiting(now_, index);
}

bool Scheduler::MayReserve(JobIndex index) const {
  const PlacerOptions& options = state_.options;
  const Job& job = state_.jobs.at(index);
  if (!options.reservation || job.spec.spread || job.unplaceable) return false;
  if (now_ < next_plan_ || now_ < job.next_plan) return false;
  const bool gang = job.spec.job_class == JobClass::kGang;
  const bool has_own = state_.reservations.Find(index) != nullptr;
  if (job.spec.urgent) return gang;
  if (now_ - job.spec.submitted < options.reservation_delay) return false;
  return has_own ||
         state_.reservations.all().size() < options.most_reservations;
}

void Scheduler::Reserve(JobIndex index, Effects& effects) {
  if (!MayReserve(index)) return;
  const PlacerOptions& options = state_.options;
  Job& job = state_.jobs.at(index);
  const Reservation* known = state_.reservations.Find(index);
  const TimePoint made_at = known == nullptr ? now_ : known->made_at;
  state_.reservations.Drop(index);
  next_plan_ = now_ + options.plan_interval;
  const bool gang = job.spec.job_class == JobClass::kGang;
  auto plan = PlanReservation(state_, now_, index, gang ? job.spec.tasks : 1);
  job.next_plan =
      now_ + (plan ? options.replan_interval : options.failed_plan_interval);
  if (!plan) return;
  plan->made_at = made_at;
  state_.reservations.Add(*plan);
  if (job.spec.urgent && options.preemption) PreemptFor(*plan, effects);
}

void Scheduler::PreemptFor(const Reservation& reservation, Effects& effects) {
  const JobSpec& spec = state_.jobs.at(reservation.job).spec;
  for (const auto& [index, places] : reservation.places) {
    const Resources needed = spec.per_task * places;
    // The hold of the reservation is part of what is taken off the room.
    Resources room = state_.workers.rooms()[index].free + needed;
    for (const TaskIndex victim : VictimsOn(state_, index, spec)) {
      if (Fits(needed, room)) break;
      room += state_.tasks.at(victim).resources;
      state_.StopOneTask(now_, victim, StopMode::kCheckpoint,
                         "preempted by job " + spec.id.value(), effects);
    }
  }
}

WorkerIndex Scheduler::FindReserved(JobIndex index) const {
  const Reservation* own = state_.reservations.Find(index);
  if (own == nullptr) return kNoIndex;
  for (const auto& [worker, places] : own->places) {
    if (!state_.workers.Has(worker) || !state_.workers.AcceptsTasks(worker))
      continue;
    const Resources room =
        state_.workers.rooms()[worker].free + own->per_task * places;
    if (Fits(own->per_task, room)) return worker;
  }
  return kNoIndex;
}

WorkerIndex Scheduler::FindWorker(JobIndex index, Effects& effects) {
  const Job& job = state_.jobs.at(index);
  WorkerDemand demand;
  demand.resources = job.spec.per_task;
  if (!job.avoided.empty()) demand.avoided = &job.avoided;
  if (job.spec.spread && state_.options.spread) {
    demand.rack_instances = &job.rack_instances;
    demand.rack_limit = RackLimit(job);
  }
  const WorkerIndex worker =
      ChooseWorker(state_.workers, demand, state_.options);
  if (worker != kNoIndex) return worker;
  const WorkerIndex reserved = FindReserved(index);
  if (reserved != kNoIndex) {
    state_.reservations.Drop(index);
    return reserved;
  }
  if (job.spec.urgent) return FindUrgent(index, effects);
  return FindBackfill(job);
}

WorkerIndex Scheduler::FindBackfill(const Job& job) const {
  const Duration run_time = state_.ExpectedRunTime(job.spec);
  const bool ends =
      job.spec.job_class == JobClass::kBatch && run_time > Duration(0);
  if (!ends || job.spec.spread) return kNoIndex;
  for (const Reservation& reservation : state_.reservations.all()) {
    if (now_ + run_time > reservation.start) continue;
    const Duration held = now_ - reservation.made_at;
    if (held >= state_.options.backfill_limit) continue;
    for (const auto& [index, places] : reservation.places) {
      if (!state_.workers.Has(index) || !state_.workers.AcceptsTasks(index))
        continue;
      const Resources room =
          state_.workers.rooms()[index].free + reservation.per_task * places;
      if (Fits(job.spec.per_task, room)) return index;
    }
  }
  return kNoIndex;
}

WorkerIndex Scheduler::FindUrgent(JobIndex index, Effects& effects) {
  const Job& job = state_.jobs.at(index);
  const Resources& demand = job.spec.per_task;
  std::int64_t waiting = 0;
  for (std::size_t claim = 0; claim < state_.claims.size(); ++claim) {
    const PreemptionClaim& known = state_.claims[claim];
    if (known.job != index) continue;
    ++waiting;
    const Worker& worker = state_.workers.at(known.worker);
    const Resources room = worker.spec.capacity - worker.reserved -
                           worker.urgent_hold + known.amount;
    if (!Fits(demand, room)) continue;
    const WorkerIndex chosen = known.worker;
    state_.DropClaim(claim);
    return chosen;
  }
  // Reserved room is not kept from urgent work.
  for (WorkerIndex each = 0; each < state_.workers.end_index(); ++each) {
    if (!state_.workers.Has(each) || !state_.workers.AcceptsTasks(each))
      continue;
    const Resources& hold = state_.workers.at(each).reservation_hold;
    if (Fits(demand, state_.workers.rooms()[each].free + hold)) return each;
  }
  if (!state_.options.preemption) return kNoIndex;
  for (; waiting < state_.MissingTasks(job); ++waiting) {
    const auto plan = PlanPreemption(state_, job.spec);
    if (!plan) break;
    for (const TaskIndex victim : plan->victims) {
      state_.StopOneTask(now_, victim, StopMode::kCheckpoint,
                         "preempted by job " + job.spec.id.value(), effects);
    }
    state_.AddClaim({index, plan->worker, demand});
  }
  return kNoIndex;
}

int Scheduler::RackLimit(const Job& job) const {
  const auto racks = static_cast<double>(state_.CountUsableRacks());
  const double even = job.spec.tasks / std::max(1.0, racks);
  const double limit = std::ceil(even * state_.options.rack_share);
  return std::max(1, static_cast<int>(limit));
}

void Scheduler::StartOn(JobIndex index, WorkerIndex worker, Effects& effects) {
  const JobSpec& spec = state_.jobs.at(index).spec;
  Task task;
  task.id = state_.NewTaskId(spec.id);
  task.job = index;
  task.entry = spec.entry;
  task.owner = spec.owner;
  task.worker = worker;
  task.resources = spec.per_task;
  task.batch = batch_;
  task.since = now_;
  task.started = now_;
  effects.emplace_back(
      CommitTaskRow{batch_, task.id, spec.id, spec.entry, spec.owner,
                    state_.workers.at(worker).spec.id, spec.per_task});
  const TaskIndex started = state_.AddTask(std::move(task), /*occupy=*/false);
  state_.batches[batch_].tasks.push_back(started);
  state_.jobs.at(index).unplaceable = false;
  if (starts_left_ > 0) --starts_left_;
  if (spec.urgent) state_.TrimClaims(index);
}

void Scheduler::ReportUnplaceable(JobIndex index, Effects& effects) {
  Job& job = state_.jobs.at(index);
  if (job.checked_fleet == state_.workers.worker_set_version()) return;
  job.checked_fleet = state_.workers.worker_set_version();
  const std::string reason = state_.WhyNeverFits(job.spec);
  const bool unplaceable = !reason.empty();
  if (unplaceable && !job.unplaceable) {
    effects.emplace_back(
        JobUnplaceable{job.spec.id, ResultCode::kNeverFits, reason});
  }
  job.unplaceable = unplaceable;
}

}  // namespace chivewing
