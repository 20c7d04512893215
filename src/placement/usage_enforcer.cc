#include "placement/usage_enforcer.h"

#include <algorithm>
#include <vector>

#include "placement/placer_state.h"

namespace chivewing {
namespace {

std::int64_t WithTolerance(std::int64_t declared, double tolerance) {
  return declared +
         static_cast<std::int64_t>(static_cast<double>(declared) * tolerance);
}

// A task without a report counts with its declared size; a task that is
// stopping counts as zero, because it will soon use nothing.
Resources UsageOf(const Task& task) {
  if (task.state == TaskState::kStopping) return Resources();
  return task.reported_usage.value_or(task.resources);
}

int PriorityOf(const PlacerState& state, const Task& task) {
  return task.job == kNoIndex ? 0 : state.jobs.at(task.job).spec.priority;
}

}  // namespace

void UsageEnforcer::OnUsageReport(TimePoint now, const TaskId& id,
                                  const Resources& used, Effects& effects) {
  const TaskIndex index = state_.tasks.Find(id);
  if (index == kNoIndex) return;
  Task& task = state_.tasks.at(index);
  task.reported_usage = used;
  state_.statistics.AddUsage(task.entry, task.resources, used);
  if (now - task.start_time >= state_.options.health.min_successful_run_time) {
    state_.RecordTaskSuccess(task);
  }
  if (!ExceedsDeclaredSize(task)) return;
  Throttle(index, effects);
  StopOverusingTasks(now, task.worker, effects);
}

bool UsageEnforcer::ExceedsDeclaredSize(const Task& task) const {
  if (!task.reported_usage) return false;
  const double tolerance = state_.options.usage_tolerance;
  const Resources limit{
      WithTolerance(task.resources.processors_milli, tolerance),
      WithTolerance(task.resources.memory_mb, tolerance),
      task.resources.accelerators};
  return !Fits(*task.reported_usage, limit);
}

void UsageEnforcer::Throttle(TaskIndex index, Effects& effects) {
  Task& task = state_.tasks.at(index);
  const bool processors_over =
      task.reported_usage->processors_milli > task.resources.processors_milli;
  if (task.throttled || !processors_over) return;
  if (task.state != TaskState::kRunning) return;
  task.throttled = true;
  effects.emplace_back(
      ThrottleTask{task.id, state_.workers.at(task.worker).spec.id,
                   "uses " + Describe(*task.reported_usage) + ", declared " +
                       Describe(task.resources)});
}

void UsageEnforcer::StopOverusingTasks(TimePoint now, WorkerIndex worker_index,
                                       Effects& effects) {
  const Worker& worker = state_.workers.at(worker_index);
  Resources used;
  std::vector<TaskIndex> overusing;
  for (const TaskIndex index : worker.tasks) {
    const Task& task = state_.tasks.at(index);
    used += UsageOf(task);
    const bool stoppable = task.state == TaskState::kRunning;
    if (stoppable && ExceedsDeclaredSize(task)) overusing.push_back(index);
  }
  std::sort(overusing.begin(), overusing.end(),
            [this](TaskIndex a, TaskIndex b) {
              const Task& task_a = state_.tasks.at(a);
              const Task& task_b = state_.tasks.at(b);
              const int priority_a = PriorityOf(state_, task_a);
              const int priority_b = PriorityOf(state_, task_b);
              if (priority_a != priority_b) return priority_a < priority_b;
              return task_a.start_time > task_b.start_time;
            });
  for (const TaskIndex index : overusing) {
    const auto shortage = FirstShortage(used, worker.spec.capacity);
    if (!shortage) return;
    const Task& task = state_.tasks.at(index);
    const Resources freed = UsageOf(task);
    // A shortage of processors is handled by throttling first; the task is
    // stopped if the shortage persists.
    const bool just_throttled =
        *shortage == Dimension::kProcessors && !task.stop_if_still_over;
    if (just_throttled) {
      state_.tasks.at(index).stop_if_still_over = true;
      continue;
    }
    used -= freed;
    state_.RequestTaskStop(now, index, state_.PreferredStopMode(task),
                           "its worker ran out of " +
                               std::string(DimensionName(*shortage)) +
                               " and the task exceeds its declared size",
                           effects);
  }
}

}  // namespace chivewing
