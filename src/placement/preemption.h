#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "placement/indices.h"
#include "placement/job_spec.h"

namespace chivewing {

struct Task;
struct PlacerState;

// Tasks to checkpoint on one worker so that an urgent task fits.
struct PreemptionPlan {
  WorkerIndex worker = kNoIndex;
  std::vector<TaskIndex> tasks;
};

// Whether the task may be preempted for the urgent job.
bool IsPreemptible(const PlacerState& state, const Task& task,
                   const JobSpec& urgent);

// All possible victims on a worker, in the order in which they are taken.
std::vector<TaskIndex> PreemptibleTasksOn(const PlacerState& state,
                                          WorkerIndex worker,
                                          const JobSpec& urgent);

// Looks for the worker on which an urgent task fits at the least harm: victims
// are checkpointable, of lower priority, lowest priority and newest first; of
// several workers the one whose most important victim matters least, then the
// one with the fewest victims.
std::optional<PreemptionPlan> PlanPreemption(const PlacerState& state,
                                             const JobSpec& urgent);

}  // namespace chivewing
