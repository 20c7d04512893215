#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "placement/indices.h"
#include "placement/job_spec.h"

namespace chivewing {

struct Task;
struct PlacerState;

// The tasks to checkpoint on one worker so that an urgent task fits there.
struct PreemptionPlan {
  WorkerIndex worker = kNoIndex;
  std::vector<TaskIndex> tasks;
};

// Whether the task may be preempted for the urgent job: it runs, can be
// checkpointed, is not urgent and has a lower priority.
bool IsPreemptible(const PlacerState& state, const Task& task,
                   const JobSpec& urgent);

// All preemptible tasks on a worker in the order of preemption: lowest priority
// first, then newest first.
std::vector<TaskIndex> PreemptibleTasksOn(const PlacerState& state,
                                          WorkerIndex worker,
                                          const JobSpec& urgent);

// Chooses the worker on which preemption for one urgent task costs least: the
// one whose highest priority among the preempted tasks is lowest, then the one
// with the fewest preempted tasks. Returns nullopt when no worker can be freed.
std::optional<PreemptionPlan> PlanPreemption(const PlacerState& state,
                                             const JobSpec& urgent);

}  // namespace chivewing
