#include "placement/preemption.h"

#include <algorithm>
#include <tuple>

#include "placement/placer_state.h"

namespace chivewing {
namespace {

int PriorityOf(const PlacerState& state, TaskIndex task) {
  return state.jobs.at(state.tasks.at(task).job).spec.priority;
}

// Adds preemptible tasks in order until the urgent task fits, then leaves out
// those that are not needed. Empty when preempting all of them would not free
// enough.
std::vector<TaskIndex> ChooseTasksToPreempt(const PlacerState& state,
                                            WorkerIndex worker,
                                            const JobSpec& urgent) {
  const Worker& known = state.workers.at(worker);
  Resources available =
      known.spec.capacity - known.reserved - known.preemption_hold;
  std::vector<TaskIndex> chosen;
  for (const TaskIndex victim : PreemptibleTasksOn(state, worker, urgent)) {
    if (Fits(urgent.per_task, available)) break;
    available += state.tasks.at(victim).resources;
    chosen.push_back(victim);
  }
  if (!Fits(urgent.per_task, available)) return {};
  for (std::size_t left = chosen.size(); left-- > 0;) {
    const Resources& size = state.tasks.at(chosen[left]).resources;
    if (!Fits(urgent.per_task, available - size)) continue;
    available -= size;
    chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(left));
  }
  return chosen;
}

}  // namespace

bool IsPreemptible(const PlacerState& state, const Task& task,
                   const JobSpec& urgent) {
  if (task.state != TaskState::kRunning || task.job == kNoIndex) return false;
  const JobSpec& spec = state.jobs.at(task.job).spec;
  return spec.checkpointable && !spec.urgent && spec.priority < urgent.priority;
}

std::vector<TaskIndex> PreemptibleTasksOn(const PlacerState& state,
                                          WorkerIndex worker,
                                          const JobSpec& urgent) {
  std::vector<TaskIndex> victims;
  for (const TaskIndex task : state.workers.at(worker).tasks) {
    if (IsPreemptible(state, state.tasks.at(task), urgent))
      victims.push_back(task);
  }
  std::sort(victims.begin(), victims.end(), [&state](TaskIndex a, TaskIndex b) {
    const int priority_a = PriorityOf(state, a);
    const int priority_b = PriorityOf(state, b);
    if (priority_a != priority_b) return priority_a < priority_b;
    return state.tasks.at(a).start_time > state.tasks.at(b).start_time;
  });
  return victims;
}

std::optional<PreemptionPlan> PlanPreemption(const PlacerState& state,
                                             const JobSpec& urgent) {
  std::optional<PreemptionPlan> best;
  std::tuple<int, std::size_t> best_cost;
  for (WorkerIndex worker = 0; worker < state.workers.end_index(); ++worker) {
    if (!state.workers.Has(worker) || !state.workers.AcceptsTasks(worker))
      continue;
    if (!Fits(urgent.per_task, state.workers.at(worker).spec.capacity))
      continue;
    std::vector<TaskIndex> victims =
        ChooseTasksToPreempt(state, worker, urgent);
    if (victims.empty()) continue;
    int highest = PriorityOf(state, victims.front());
    for (const TaskIndex victim : victims) {
      highest = std::max(highest, PriorityOf(state, victim));
    }
    const std::tuple<int, std::size_t> cost(highest, victims.size());
    if (best && cost >= best_cost) continue;
    best_cost = cost;
    best = PreemptionPlan{worker, std::move(victims)};
  }
  return best;
}

}  // namespace chivewing
