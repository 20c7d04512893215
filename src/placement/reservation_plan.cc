#include "placement/reservation_plan.h"

#include <algorithm>
#include <vector>

#include "placement/placer_state.h"
#include "placement/preemption.h"

namespace chivewing {
namespace {

// From `time` on, `tasks` more tasks of the job fit on the worker.
struct CapacityEvent {
  TimePoint time;
  WorkerIndex worker = kNoIndex;
  std::int64_t tasks = 0;
};

struct TaskEnding {
  TimePoint time;
  Resources resources;
};

std::vector<TaskEnding> EndingsOn(const PlacerState& state, TimePoint now,
                                  WorkerIndex worker, const JobSpec& job) {
  std::vector<TaskEnding> endings;
  const bool preempts = job.urgent && state.options.preemption;
  for (const TaskIndex index : state.workers.at(worker).tasks) {
    const Task& task = state.tasks.at(index);
    auto end = state.ExpectedEnd(now, task);
    if (preempts && IsPreemptible(state, task, job)) end = now;
    if (end) endings.push_back({*end, task.resources});
  }
  std::sort(
      endings.begin(), endings.end(),
      [](const TaskEnding& a, const TaskEnding& b) { return a.time < b.time; });
  return endings;
}

void AddCapacityEvents(const PlacerState& state, TimePoint now,
                       WorkerIndex worker, const JobSpec& job, int tasks,
                       std::vector<CapacityEvent>& events) {
  Resources available = state.workers.free_resources()[worker].free;
  const auto count = [&available, &job, tasks] {
    return std::min<std::int64_t>(CountFits(job.per_task, available), tasks);
  };
  std::int64_t fitting = count();
  if (fitting > 0) events.push_back({now, worker, fitting});
  for (const TaskEnding& ending : EndingsOn(state, now, worker, job)) {
    available += ending.resources;
    const std::int64_t more = count() - fitting;
    if (more <= 0) continue;
    fitting += more;
    events.push_back({ending.time, worker, more});
  }
}

}  // namespace

std::optional<Reservation> PlanReservation(const PlacerState& state,
                                           TimePoint now, JobIndex job,
                                           int tasks) {
  const JobSpec& spec = state.jobs.at(job).spec;
  std::vector<CapacityEvent> events;
  for (WorkerIndex worker = 0; worker < state.workers.end_index(); ++worker) {
    if (!state.workers.Has(worker) || !state.workers.AcceptsTasks(worker))
      continue;
    if (!Fits(spec.per_task, state.workers.at(worker).spec.capacity)) continue;
    AddCapacityEvents(state, now, worker, spec, tasks, events);
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const CapacityEvent& a, const CapacityEvent& b) {
                     return a.time < b.time;
                   });
  Reservation plan;
  plan.job = job;
  plan.per_task = spec.per_task;
  plan.planned_at = now;
  plan.created_at = now;
  std::int64_t missing = tasks;
  for (const CapacityEvent& event : events) {
    if (missing <= 0) break;
    const std::int64_t taken = std::min(missing, event.tasks);
    missing -= taken;
    plan.expected_start = event.time;
    plan.tasks_by_worker[event.worker] += taken;
  }
  if (missing > 0) return std::nullopt;
  return plan;
}

}  // namespace chivewing
