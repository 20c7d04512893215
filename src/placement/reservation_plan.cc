#include "placement/reservation_plan.h"

#include <algorithm>
#include <vector>

#include "placement/placer_state.h"
#include "placement/preemption.h"

namespace chivewing {
namespace {

// From `time` on the worker has room for `places` more tasks of the job.
struct RoomEvent {
  TimePoint time;
  WorkerIndex worker = kNoIndex;
  std::int64_t places = 0;
};

struct Ending {
  TimePoint time;
  Resources resources;
};

std::vector<Ending> EndingsOn(const PlacerState& state, TimePoint now,
                              WorkerIndex worker, const JobSpec& job) {
  std::vector<Ending> endings;
  const bool preempts = job.urgent && state.options.preemption;
  for (const TaskIndex index : state.workers.at(worker).tasks) {
    const Task& task = state.tasks.at(index);
    auto end = state.ExpectedEnd(now, task);
    if (preempts && IsVictim(state, task, job)) end = now;
    if (end) endings.push_back({*end, task.resources});
  }
  std::sort(endings.begin(), endings.end(),
            [](const Ending& a, const Ending& b) { return a.time < b.time; });
  return endings;
}

void AddRoomEvents(const PlacerState& state, TimePoint now, WorkerIndex worker,
                   const JobSpec& job, int tasks,
                   std::vector<RoomEvent>& events) {
  Resources room = state.workers.rooms()[worker].free;
  const auto count = [&room, &job, tasks] {
    return std::min<std::int64_t>(CountFits(job.per_task, room), tasks);
  };
  std::int64_t places = count();
  if (places > 0) events.push_back({now, worker, places});
  for (const Ending& ending : EndingsOn(state, now, worker, job)) {
    room += ending.resources;
    const std::int64_t more = count() - places;
    if (more <= 0) continue;
    places += more;
    events.push_back({ending.time, worker, more});
  }
}

}  // namespace

std::optional<Reservation> PlanReservation(const PlacerState& state,
                                           TimePoint now, JobIndex job,
                                           int tasks) {
  const JobSpec& spec = state.jobs.at(job).spec;
  std::vector<RoomEvent> events;
  for (WorkerIndex worker = 0; worker < state.workers.end_index(); ++worker) {
    if (!state.workers.Has(worker) || !state.workers.AcceptsTasks(worker))
      continue;
    if (!Fits(spec.per_task, state.workers.at(worker).spec.capacity)) continue;
    AddRoomEvents(state, now, worker, spec, tasks, events);
  }
  std::stable_sort(
      events.begin(), events.end(),
      [](const RoomEvent& a, const RoomEvent& b) { return a.time < b.time; });
  Reservation plan;
  plan.job = job;
  plan.per_task = spec.per_task;
  plan.planned_at = now;
  plan.made_at = now;
  std::int64_t missing = tasks;
  for (const RoomEvent& event : events) {
    if (missing <= 0) break;
    const std::int64_t taken = std::min(missing, event.places);
    missing -= taken;
    plan.start = event.time;
    plan.places[event.worker] += taken;
  }
  if (missing > 0) return std::nullopt;
  return plan;
}

}  // namespace chivewing
