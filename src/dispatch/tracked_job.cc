#include "dispatch/tracked_job.h"

#include <algorithm>

namespace chivewing {

TrackedStep* TrackedJob::FindStep(std::size_t occurrence, std::size_t step) {
  const auto found = occurrences.find(occurrence);
  if (found == occurrences.end()) return nullptr;
  return step < found->second.size() ? &found->second[step] : nullptr;
}

TrackedTask* TrackedJob::FindTask(const TaskKey& key) {
  TrackedStep* const step = FindStep(key.occurrence, key.step);
  if (step == nullptr || key.index >= step->tasks.size()) return nullptr;
  return &step->tasks[key.index];
}

std::size_t TrackedJob::OccurrenceCount() const {
  return std::max<std::size_t>(1, record.spec.repeats);
}

std::chrono::milliseconds TrackedJob::DueTime(std::size_t occurrence) const {
  if (record.spec.repeats == 0) return std::chrono::milliseconds(0);
  return record.spec.first_at +
         record.spec.interval * static_cast<std::int64_t>(occurrence);
}

bool TrackedJob::IsStepDone(std::size_t occurrence, std::size_t step) const {
  const TrackedStep& state = occurrences.at(occurrence)[step];
  return state.done_count == state.tasks.size();
}

bool TrackedJob::ArePredecessorsDone(std::size_t occurrence,
                                     std::size_t step) const {
  const std::vector<std::size_t>& after = record.spec.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::size_t earlier) {
    return IsStepDone(occurrence, earlier);
  });
}

std::vector<std::size_t> TrackedJob::WaitingTasks(std::size_t occurrence,
                                                  std::size_t step) const {
  const TrackedStep& state = occurrences.at(occurrence)[step];
  std::vector<std::size_t> waiting;
  for (std::size_t i = 0; i < state.tasks.size(); ++i) {
    const TrackedTask& task = state.tasks[i];
    if (!task.progress.done && task.runs.empty()) waiting.push_back(i);
  }
  const bool gang = record.spec.steps[step].gang;
  if (gang && waiting.size() < state.tasks.size()) waiting.clear();
  return waiting;
}

void TrackedJob::OpenOccurrence(std::size_t occurrence) {
  std::vector<TrackedStep>& steps = occurrences[occurrence];
  if (!steps.empty()) return;
  for (const StepSpec& spec : record.spec.steps) {
    steps.emplace_back().tasks.resize(spec.task_count);
  }
}

void TrackedJob::OpenReportedOccurrence(std::size_t occurrence) {
  if (occurrence < finished_occurrences || occurrence >= OccurrenceCount())
    return;
  if (!IsFinal(state)) OpenOccurrence(occurrence);
}

JobProgress TrackedJob::progress() const {
  JobProgress out;
  out.state = cancelled && !IsFinal(state) ? JobPhase::kCancelled : state;
  out.highest_run = highest_run;
  out.finished_occurrences = finished_occurrences;
  // A successor does not need the tasks of a job that has ended.
  if (IsFinal(out.state)) return out;
  for (const auto& [number, steps] : occurrences) {
    std::vector<StepProgress>& list = out.occurrences[number];
    for (const TrackedStep& step : steps) {
      StepProgress& kept = list.emplace_back();
      for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const TaskProgress& task = step.tasks[i].progress;
        if (!task.empty()) kept.emplace(i, task);
      }
    }
  }
  return out;
}

void TrackedJob::set_progress(const JobProgress& progress) {
  state = progress.state;
  highest_run = progress.highest_run;
  finished_occurrences = progress.finished_occurrences;
  for (const auto& [number, list] : progress.occurrences) {
    OpenOccurrence(number);
    std::vector<TrackedStep>& steps = occurrences[number];
    for (std::size_t s = 0; s < std::min(list.size(), steps.size()); ++s) {
      for (const auto& [index, task] : list[s]) {
        if (index >= steps[s].tasks.size()) continue;
        TrackedTask& state = steps[s].tasks[index];
        state.progress = task;
        if (!task.failed_runs.empty()) {
          state.highest_run = *task.failed_runs.rbegin();
        }
        if (task.done) ++steps[s].done_count;
      }
    }
  }
}

}  // namespace chivewing
