#include "placement/gang_plan.h"

#include <algorithm>
#include <map>
#include <vector>

#include "placement/zone_state.h"

namespace chivewing {
namespace {

// From `time` on the worker has room for `places` more tasks of the gang.
struct RoomEvent {
  TimePoint time;
  WorkerIndex worker = kNoIndex;
  std::int64_t places = 0;
};

struct Ending {
  TimePoint time;
  Resources resources;
};

std::vector<Ending> EndingsOn(const ZoneState& state, TimePoint now,
                              WorkerIndex worker) {
  std::vector<Ending> endings;
  for (const TaskIndex index : state.workers.at(worker).tasks) {
    const Task& task = state.tasks.at(index);
    const auto end = state.ExpectedEnd(now, task);
    if (end) endings.push_back({*end, task.resources});
  }
  std::sort(endings.begin(), endings.end(),
            [](const Ending& a, const Ending& b) { return a.time < b.time; });
  return endings;
}

void AddRoomEvents(const ZoneState& state, TimePoint now, WorkerIndex worker,
                   const JobSpec& gang, std::vector<RoomEvent>& events) {
  Resources room = state.workers.rooms()[worker].free;
  const auto count = [&room, &gang] {
    return std::min<std::int64_t>(CountFits(gang.per_task, room), gang.tasks);
  };
  std::int64_t places = count();
  if (places > 0) events.push_back({now, worker, places});
  for (const Ending& ending : EndingsOn(state, now, worker)) {
    room += ending.resources;
    const std::int64_t more = count() - places;
    if (more <= 0) continue;
    places += more;
    events.push_back({ending.time, worker, more});
  }
}

}  // namespace

std::optional<GangReservation> PlanGang(const ZoneState& state, TimePoint now,
                                        JobIndex gang) {
  const JobSpec& spec = state.jobs.at(gang).spec;
  std::vector<RoomEvent> events;
  for (WorkerIndex worker = 0; worker < state.workers.end_index(); ++worker) {
    if (!state.workers.Has(worker) || !state.workers.IsOpen(worker)) continue;
    AddRoomEvents(state, now, worker, spec, events);
  }
  std::stable_sort(
      events.begin(), events.end(),
      [](const RoomEvent& a, const RoomEvent& b) { return a.time < b.time; });
  GangReservation plan;
  plan.job = gang;
  plan.planned_at = now;
  plan.made_at = now;
  std::int64_t missing = spec.tasks;
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
