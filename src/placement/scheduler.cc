#include "placement/scheduler.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <vector>

#include "placement/gang_plan.h"
#include "placement/job_order.h"
#include "placement/preemption.h"
#include "placement/zone_state.h"

namespace chivewing {
namespace {

// A lane that has jobs to try, by the order of its first job.
struct OrderedLane {
  JobOrder order;
  LaneQueue::Lanes::iterator lane;
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
  LaneQueue::Lanes& lanes = state_.queue.lanes();
  LaneHeap heap;
  const auto push = [this, &heap](LaneQueue::Lanes::iterator lane) {
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

bool Scheduler::MayFit(const LaneKey& key, Lane& lane) const {
  if (lane.no_room_at == 0) return true;
  const bool plain = key.gang_tasks == 0 && !key.urgent && key.job.empty();
  if (!plain) return true;
  if (state_.workers.MayFitSince(lane.no_room_at, key.per_task)) return true;
  lane.no_room_at = state_.workers.growth();
  return false;
}

Scheduler::Outcome Scheduler::PlaceFirst(const LaneKey& key, Lane& lane,
                                         Effects& effects) {
  const JobIndex index = lane.places.begin()->job;
  if (key.gang_tasks > 0) return PlaceGang(index, effects);

  const Outcome outcome = PlaceTasks(index, effects);
  if (outcome == Outcome::kNoRoom) {
    lane.no_room_at = state_.workers.growth();
    ReportUnplaceable(index, effects);
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
  const bool reserved = state_.reservation && state_.reservation->job == index;
  if (reserved) state_.LiftReservation();
  if (CountRoom(state_.workers, spec.per_task, spec.tasks) >= spec.tasks) {
    StartGang(index, effects);
    if (reserved) state_.DropReservation();
    return Outcome::kPlaced;
  }
  if (reserved) state_.HoldReservation();
  ReserveForGang(index);
  ReportUnplaceable(index, effects);
  return Outcome::kNoRoom;
}

void Scheduler::StartGang(JobIndex index, Effects& effects) {
  const JobSpec& spec = state_.jobs.at(index).spec;
  WorkerDemand demand;
  demand.resources = spec.per_task;
  int missing = spec.tasks;
  while (missing > 0) {
    const WorkerIndex worker =
        ChooseWorker(state_.workers, demand, state_.options);
    // Fills the worker while it is at hand: fewer scans, fewer workers.
    while (missing > 0 &&
           Fits(spec.per_task, state_.workers.rooms()[worker].free)) {
      StartOn(index, worker, effects);
      --missing;
    }
  }
  state_.UpdateWaiting(now_, index);
}

void Scheduler::ReserveForGang(JobIndex index) {
  const PlacerOptions& options = state_.options;
  const JobSpec& spec = state_.jobs.at(index).spec;
  if (!options.gang_reservation) return;
  if (now_ - spec.submitted < options.gang_patience) return;
  auto& reservation = state_.reservation;
  const bool mine = reservation && reservation->job == index;
  if (reservation && !mine) return;
  if (mine && now_ - reservation->planned_at < options.replan_interval) return;
  const TimePoint made_at = mine ? reservation->made_at : now_;
  state_.DropReservation();
  reservation = PlanGang(state_, now_, index);
  if (!reservation) return;
  reservation->made_at = made_at;
  state_.HoldReservation();
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
  if (job.spec.urgent) return FindUrgent(index, effects);
  return FindBackfill(job);
}

WorkerIndex Scheduler::FindBackfill(const Job& job) const {
  if (!state_.reservation || job.spec.spread) return kNoIndex;
  const GangReservation& reservation = *state_.reservation;
  const Duration run_time = state_.ExpectedRunTime(job.spec);
  const bool ends =
      job.spec.job_class == JobClass::kBatch && run_time > Duration(0);
  if (!ends || now_ + run_time > reservation.start) return kNoIndex;
  if (now_ - reservation.made_at >= state_.options.backfill_limit) {
    return kNoIndex;
  }
  for (const auto& [index, places] : reservation.places) {
    if (!state_.workers.Has(index) || !state_.workers.IsOpen(index)) continue;
    const Worker& worker = state_.workers.at(index);
    const Resources room = state_.workers.rooms()[index].free;
    if (Fits(job.spec.per_task, room + worker.gang_hold)) return index;
  }
  return kNoIndex;
}

WorkerIndex Scheduler::FindUrgent(JobIndex index, Effects& effects) {
  const Job& job = state_.jobs.at(index);
  const Resources& demand = job.spec.per_task;
  std::int64_t waiting = 0;
  for (std::size_t claim = 0; claim < state_.claims.size(); ++claim) {
    const UrgentClaim& known = state_.claims[claim];
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
  // Room kept for a gang is not kept from urgent work.
  for (WorkerIndex each = 0; each < state_.workers.end_index(); ++each) {
    if (!state_.workers.Has(each) || !state_.workers.IsOpen(each)) continue;
    const Resources& hold = state_.workers.at(each).gang_hold;
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
  effects.emplace_back(StartTask{batch_, task.id, spec.id, spec.entry,
                                 spec.owner, state_.workers.at(worker).spec.id,
                                 spec.per_task});
  const TaskIndex started = state_.AddTask(std::move(task), /*occupy=*/false);
  state_.batches[batch_].tasks.push_back(started);
  state_.jobs.at(index).unplaceable = false;
  if (starts_left_ > 0) --starts_left_;
  if (spec.urgent) state_.TrimClaims(index);
}

void Scheduler::ReportUnplaceable(JobIndex index, Effects& effects) {
  Job& job = state_.jobs.at(index);
  if (job.checked_fleet == state_.workers.fleet_version()) return;
  job.checked_fleet = state_.workers.fleet_version();
  const std::string reason = state_.WhyNeverFits(job.spec);
  const bool unplaceable = !reason.empty();
  if (unplaceable && !job.unplaceable) {
    effects.emplace_back(
        JobUnplaceable{job.spec.id, ResultCode::kNeverFits, reason});
  }
  job.unplaceable = unplaceable;
}

}  // namespace chivewing
