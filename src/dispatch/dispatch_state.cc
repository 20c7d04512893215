#include "dispatch/dispatch_state.h"

#include <algorithm>

#include "base/log.h"
#include "dispatch/crash_policy.h"

namespace chivewing {
namespace {

void SetMember(std::set<WorkerId>& workers, const WorkerId& id, bool member) {
  if (member) {
    workers.insert(id);
  } else {
    workers.erase(id);
  }
}

}  // namespace

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
  if (IsExclusive(now)) return options.lease;
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
    if (!MayCopy(job->second, task, spec)) continue;
    const auto run = runs.all().find(task.runs.front());
    if (run == runs.all().end()) continue;
    const auto worker = workers.find(run->second.worker);
    if (worker != workers.end() && worker->second.IsUnresponsive())
      out.push_back(i);
  }
  return out;
}

bool DispatchState::IsIsolated(TimePoint now, const WorkerId& worker) const {
  const auto isolated = isolated_runs.find(worker);
  if (isolated == isolated_runs.end()) return false;
  return IsOnProbation(now, runs.all().at(isolated->second));
}

std::size_t DispatchState::CountIsolated(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      isolated_runs.begin(), isolated_runs.end(), [&](const auto& entry) {
        return IsIsolated(now, entry.first) &&
               !workers.at(entry.first).IsUnresponsive();
      }));
}

void DispatchState::UpdateWorker(TrackedWorker& worker) {
  const WorkerId& id = worker.registration().worker;
  const bool accepts_tasks = worker.registered() && worker.enrolled &&
                             worker.synced && worker.has_clock() &&
                             worker.IsRegistrationCurrent() &&
                             !worker.registration().draining &&
                             !worker.IsUnresponsive() && !runs.HasOrphan(id);
  if (free_workers.Update(worker, accepts_tasks)) freed_workers.insert(id);
}

void DispatchState::UpdateTableWork(const TrackedWorker& worker) {
  const WorkerId& id = worker.registration().worker;
  SetMember(workers_without_row, id,
            worker.NeedsRow() && !refused_rows.IsSetAside(id));
  SetMember(workers_with_ends, id, worker.HasUnpersistedEnds());
}

void DispatchState::RemoveWorker(const WorkerId& id) {
  free_workers.Remove(id);
  freed_workers.erase(id);
  workers_without_row.erase(id);
  workers_with_ends.erase(id);
  workers.erase(id);
}

void DispatchState::ReportInvariantBreach(const std::string& what) {
  ++counts.invariant_breaches;
  LogError(LogPart::kPlacer, "invariant violated: " + what);
}

}  // namespace chivewing
