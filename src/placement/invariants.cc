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
    Check(state.workers.Has(task.worker), "a task is on no worker");
    sums[task.worker] += task.resources;
  }
  for (WorkerIndex index = 0; index < state.workers.end_index(); ++index) {
    if (!state.workers.Has(index)) continue;
    const Worker& worker = state.workers.at(index);
    Check(worker.reserved == sums[index], "the sum of a worker is wrong");
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
    Check(state.quotas.Used(owner) == sum, "the sum of an owner is wrong");
  }
}

void CheckJob(const PlacerState& state, JobIndex index) {
  const Job& job = state.jobs.at(index);
  int active = 0;
  for (const TaskIndex task : job.tasks) {
    Check(state.tasks.Has(task), "a job has a task that is gone");
    Check(state.tasks.at(task).job == index, "a task is in the wrong job");
    if (!state.tasks.at(task).replaced) ++active;
  }
  Check(active == job.active_instances,
        "the number of instances of a job is wrong");
  const auto live = static_cast<int>(job.tasks.size());
  if (job.queue_position) {
    Check(state.MissingTasks(job) > 0, "a job waits that misses no task");
    Check(!job.cancelled, "a cancelled job waits");
  }
  if (job.spec.job_class == JobClass::kSingleton) {
    Check(live <= 1, "a singleton has two tasks");
  }
  if (job.spec.job_class == JobClass::kGang && job.queue_position) {
    Check(live == 0, "a gang that waits holds tasks");
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
