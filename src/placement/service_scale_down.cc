#include "placement/service_scale_down.h"

#include <algorithm>
#include <vector>

#include "placement/placer_state.h"

namespace chivewing {
namespace {

bool CanBeStopped(const Task& task) {
  return task.state == TaskState::kRunning ||
         task.state == TaskState::kLaunched;
}

void StopReplaced(PlacerState& state, TimePoint now, JobIndex index,
                  Effects& effects) {
  const Job& job = state.jobs.at(index);
  int running = 0;
  for (const TaskIndex task : job.tasks) {
    const Task& known = state.tasks.at(task);
    if (known.state == TaskState::kRunning && !known.replaced) ++running;
  }
  if (running < job.spec.tasks) return;
  for (const TaskIndex task : job.tasks) {
    const Task& known = state.tasks.at(task);
    if (!known.replaced || !CanBeStopped(known)) continue;
    state.RequestTaskStop(now, task, StopMode::kStop,
                          "replaced by another instance", effects);
  }
}

void StopSurplus(PlacerState& state, TimePoint now, JobIndex index,
                 Effects& effects) {
  const Job& job = state.jobs.at(index);
  int surplus = job.active_instances - job.spec.tasks;
  if (surplus <= 0) return;
  std::vector<TaskIndex> newest;
  for (const TaskIndex task : job.tasks) {
    const Task& known = state.tasks.at(task);
    if (!known.replaced && CanBeStopped(known)) newest.push_back(task);
  }
  std::sort(newest.begin(), newest.end(), [&state](TaskIndex a, TaskIndex b) {
    return state.tasks.at(a).start_time > state.tasks.at(b).start_time;
  });
  for (const TaskIndex task : newest) {
    if (surplus-- <= 0) return;
    state.RequestTaskStop(now, task, StopMode::kStop,
                          "the service has more instances than desired",
                          effects);
  }
}

}  // namespace

void ScaleDownService(PlacerState& state, TimePoint now, JobIndex job,
                      Effects& effects) {
  if (state.jobs.at(job).spec.job_class != JobClass::kService) return;
  StopReplaced(state, now, job, effects);
  StopSurplus(state, now, job, effects);
}

}  // namespace chivewing
