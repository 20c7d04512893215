#include "placement/invariants.h"

#include <unordered_map>
#include <vector>

#include "placement/check.h"
#include "placement/placer_state.h"

namespace chivewing {
namespace {

void CheckWorkers(const PlacerState& state) {
  std::vector<Resources> sums(state.workers.end_index());
  for (TaskIndex index = 0; index < state.tasks.end_index(); ++index) {
    if (!state.tasks.Has(index)) continue;
    const Task& task = state.tasks.at(index);
    Check(state.workers.Has(task.worker),
          "a task refers to a worker that does not exist");
    sums[task.worker] += task.resources;
  }
  for (WorkerIndex index = 0; index < state.workers.end_index(); ++index) {
    if (!state.workers.Has(index)) continue;
    const Worker& worker = state.workers.at(index);
    Check(
        worker.reserved == sums[index],
        "the reserved resources of a worker differ from the sum of its tasks");
  }
}

void CheckOwners(const PlacerState& state) {
  std::unordered_map<OwnerId, Resources> sums;
  for (TaskIndex index = 0; index < state.tasks.end_index(); ++index) {
    if (!state.tasks.Has(index)) continue;
    const Task& task = state.tasks.at(index);
    sums[task.owner] += task.resources;
  }
  for (const auto& [owner, sum] : sums) {
    Check(state.quotas.Used(owner) == sum,
          "the quota usage of an owner differs from the sum of its tasks");
  }
}

void CheckJob(const PlacerState& state, JobIndex index) {
  const Job& job = state.jobs.at(index);
  int active = 0;
  for (const TaskIndex task : job.tasks) {
    Check(state.tasks.Has(task), "a job refers to a task that does not exist");
    Check(state.tasks.at(task).job == index,
          "a task is listed in a job other than its own");
    if (!state.tasks.at(task).replaced) ++active;
  }
  Check(active == job.active_instances,
        "the active instance count of a job differs from its tasks");
  const auto live = static_cast<int>(job.tasks.size());
  if (job.queue_position) {
    Check(state.MissingTasks(job) > 0,
          "a job with no missing tasks is in the waiting queue");
    Check(!job.cancelled, "a cancelled job is in the waiting queue");
  }
  if (job.spec.job_class == JobClass::kSingleton) {
    Check(live <= 1, "a singleton has two tasks");
  }
  if (job.spec.job_class == JobClass::kGang && job.queue_position) {
    Check(live == 0, "a waiting gang still holds tasks");
  }
}

}  // namespace

void CheckZoneInvariants(const PlacerState& state) {
  CheckWorkers(state);
  CheckOwners(state);
  for (JobIndex index = 0; index < state.jobs.end_index(); ++index) {
    if (state.jobs.Has(index)) CheckJob(state, index);
  }
}

}  // namespace chivewing
