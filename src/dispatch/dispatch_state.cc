#include "dispatch/dispatch_state.h"

#include "base/log.h"

namespace chivewing {

TrackedWorker* DispatchState::FindWorker(const WorkerId& id) {
  const auto found = workers.find(id);
  return found == workers.end() ? nullptr : &found->second;
}

TrackedJob* DispatchState::FindJob(const JobId& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : &found->second;
}

void DispatchState::OnFencedResponse(std::uint64_t command_fence) {
  if (command_fence >= fence) fenced = true;
}

std::chrono::milliseconds DispatchState::GrantableLease(TimePoint now) const {
  if (now <= exclusive_until) return options.lease;
  return options.lease -
         std::chrono::ceil<std::chrono::milliseconds>(now - exclusive_until);
}

std::vector<std::size_t> DispatchState::TasksToCopy(const StepKey& key) const {
  std::vector<std::size_t> out;
  const auto job = jobs.find(key.job);
  if (job == jobs.end()) return out;
  const StepSpec& spec = job->second.spec(key.step);
  if (!spec.copies_allowed || spec.gang || spec.long_running) return out;
  const TrackedStep& step =
      job->second.occurrences.at(key.occurrence)[key.step];
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const TrackedTask& task = step.tasks[i];
    if (task.progress.done || task.runs.size() != 1) continue;
    const auto run = runs.all().find(task.runs.front());
    if (run == runs.all().end()) continue;
    const auto worker = workers.find(run->second.worker);
    if (worker != workers.end() && worker->second.IsUnresponsive())
      out.push_back(i);
  }
  return out;
}

void DispatchState::SetReady(const ReadyStepKey& key) {
  const auto found = ready_keys.find(key.step);
  if (found != ready_keys.end()) {
    if (found->second == key) return;
    ready.erase(found->second);
  }
  ready_keys[key.step] = key;
  ready.insert(key);
}

void DispatchState::ClearReady(const StepKey& step) {
  const auto found = ready_keys.find(step);
  if (found == ready_keys.end()) return;
  ready.erase(found->second);
  ready_keys.erase(found);
}

void DispatchState::ReportInvariantBreach(const std::string& what) {
  ++counts.invariant_breaches;
  LogError(LogPart::kPlacer, "invariant violated: " + what);
}

}  // namespace chivewing
