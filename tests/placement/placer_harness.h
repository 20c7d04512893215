#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "placement/placer.h"

namespace chivewing {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A Placer with a fake clock and helper functions for its events.
class PlacerHarness {
 public:
  explicit PlacerHarness(PlacerOptions options = {}) : placer(options, 1) {}

  void AddWorkers(int count, const Resources& capacity,
                  const std::string& prefix = "w") {
    for (int number = 0; number < count; ++number) {
      WorkerSpec worker;
      worker.id = WorkerId(prefix + std::to_string(number));
      worker.rack = "r" + std::to_string(number / 8);
      worker.capacity = capacity;
      placer.UpsertWorker(now, worker, effects);
    }
  }

  void SetWorkerState(const std::string& id, WorkerState state) {
    for (const WorkerSummary& view : placer.Workers()) {
      if (view.spec.id != WorkerId(id)) continue;
      WorkerSpec worker = view.spec;
      worker.state = state;
      placer.UpsertWorker(now, worker, effects);
    }
  }

  JobSpec MakeJob(const std::string& id, JobClass job_class, int tasks,
                  const Resources& per_task) const {
    JobSpec job;
    job.id = JobId(id);
    job.entry = EntryName("entry-" + id);
    job.owner = OwnerId("owner");
    job.job_class = job_class;
    job.tasks = tasks;
    job.per_task = per_task;
    job.submitted = now;
    return job;
  }

  void Submit(const JobSpec& job) { placer.SubmitJob(now, job, effects); }

  // Makes one decision and commits it; returns the launched tasks.
  std::vector<LaunchTask> DecideAndCommit(std::size_t max_starts = 1000) {
    const std::size_t first = effects.size();
    const auto batch = placer.Decide(now, max_starts, effects);
    if (batch) placer.CommitSucceeded(now, *batch, effects);
    return EffectsSince<LaunchTask>(first);
  }

  // Makes one decision, commits it and reports every launched task as started.
  std::vector<LaunchTask> LaunchAndStart(std::size_t max_starts = 1000) {
    std::vector<LaunchTask> launched = DecideAndCommit(max_starts);
    for (const LaunchTask& launch : launched) {
      placer.OnTaskStarted(now, launch.task, effects);
    }
    return launched;
  }

  void EndTask(const TaskId& task, TaskEnd end) {
    placer.TaskEnded(now, task, end, effects);
  }

  // All effects of one type so far.
  template <typename Kind>
  std::vector<Kind> EffectsOf() const {
    return EffectsSince<Kind>(0);
  }

  template <typename Kind>
  std::vector<Kind> EffectsSince(std::size_t first) const {
    std::vector<Kind> found;
    for (std::size_t index = first; index < effects.size(); ++index) {
      const auto* effect = std::get_if<Kind>(&effects[index]);
      if (effect != nullptr) found.push_back(*effect);
    }
    return found;
  }

  Placer placer;
  TimePoint now = TimePoint(hours(1));
  Effects effects;
};

}  // namespace chivewing
