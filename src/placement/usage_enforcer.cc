#include "placement/usage_enforcer.h"

#include <algorithm>
#include <vector>

#include "placement/placer_state.h"

namespace chivewing {
namespace {

std::int64_t Tolerated(std::int64_t declared, double tolerance) {
  return declared +
         static_cast<std::int64_t>(static_cast<double>(declared) * tolerance);
}

// Tasks without a report, or told to stop already, count by what they declared:
// the latter will soon use nothing.
Resources UsedBy(const Task& task) {
  if (task.state == TaskState::kStopping) return Resources();
  return task.used.value_or(task.resources);
}

int PriorityOf(const PlacerState& state, const Task& task) {
  return task.job == kNoIndex ? 0 : state.jobs.at(task.job).spec.priority;
}

}  // namespace

void UsageEnforcer::Report(TimePoint now, const TaskId& id,
                           const Resources& used, Effects& effects) {
  const TaskIndex index = state_.tasks.Find(id);
  if (index == kNoIndex) return;
  Task& task = state_.tasks.at(index);
  task.used = used;
  state_.statistics.AddUsage(task.entry, task.resources, used);
  if (now - task.started >= state_.options.health.proven_run) {
    state_.AddSuccess(task);
  }
  if (!IsOver(task)) return;
  Throttle(index, effects);
  RelieveWorker(now, task.worker, effects);
}

bool UsageEnforcer::IsOver(const Task& task) const {
  if (!task.used) return false;
  const double tolerance = state_.options.usage_tolerance;
  const Resources limit{Tolerated(task.resources.processors_milli, tolerance),
                        Tolerated(task.resources.memory_mb, tolerance),
                        task.resources.accelerators};
  return !Fits(*task.used, limit);
}

void UsageEnforcer::Throttle(TaskIndex index, Effects& effects) {
  Task& task = state_.tasks.at(index);
  const bool processors_over =
      task.used->processors_milli > task.resources.processors_milli;
  if (task.throttled || !processors_over) return;
  if (task.state != TaskState::kRunning) return;
  task.throttled = true;
  effects.emplace_back(
      ThrottleTask{task.id, state_.workers.at(task.worker).spec.id,
                   "uses " + Describe(*task.used) + ", declared " +
                       Describe(task.resources)});
}

void UsageEnforcer::RelieveWorker(TimePoint now, WorkerIndex worker_index,
                                  Effects& effects) {
  const Worker& worker = state_.workers.at(worker_index);
  Resources used;
  std::vector<TaskIndex> over;
  for (const TaskIndex index : worker.tasks) {
    const Task& task = state_.tasks.at(index);
    used += UsedBy(task);
    const bool stoppable = task.state == TaskState::kRunning;
    if (stoppable && IsOver(task)) over.push_back(index);
  }
  std::sort(over.begin(), over.end(), [this](TaskIndex a, TaskIndex b) {
    const Task& task_a = state_.tasks.at(a);
    const Task& task_b = state_.tasks.at(b);
    const int priority_a = PriorityOf(state_, task_a);
    const int priority_b = PriorityOf(state_, task_b);
    if (priority_a != priority_b) return priority_a < priority_b;
    return task_a.started > task_b.started;
  });
  for (const TaskIndex index : over) {
    const auto lack = FirstLack(used, worker.spec.capacity);
    if (!lack) return;
    const Task& task = state_.tasks.at(index);
    const Resources freed = UsedBy(task);
    // Throttling deals with processors first; a stop follows if it does not.
    const bool just_throttled =
        *lack == Dimension::kProcessors && !task.relief_due;
    if (just_throttled) {
      state_.tasks.at(index).relief_due = true;
      continue;
    }
    used -= freed;
    state_.StopOneTask(now, index, state_.PreferredStopMode(task),
                       "its worker is out of " + std::string(Name(*lack)) +
                           " and the task is above its declared size",
                       effects);
  }
}

}  // namespace chivewing
