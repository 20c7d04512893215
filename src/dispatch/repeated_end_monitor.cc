#include "dispatch/repeated_end_monitor.h"

#include "base/log.h"

namespace chivewing {
namespace {

// This dispatcher gives the runs of a task rising numbers.
std::string StarterOf(const TrackedTask& task, std::uint64_t run) {
  const bool here = task.first_run_here != 0 && run >= task.first_run_here;
  return here ? "this" : "earlier";
}

}  // namespace

void RepeatedEndMonitor::OnEnd(TimePoint now, const TrackedWorker& worker,
                               const EndedRunReport& end, TrackedJob& job,
                               const RunTable& runs) {
  if (end.how != RunEndReason::kDone) return;
  const TaskKey& key = end.run.task;
  TrackedTask* const task = job.FindTask(key);
  if (task == nullptr) return;
  const StepSpec& spec = job.spec(key.step);
  if (spec.long_running || spec.copies_allowed) return;
  const DoneRun this_run{end.run.number, worker.registration().worker,
                         worker.incarnation_start};
  if (task->done_by) {
    if (*task->done_by == this_run) return;
    ++of_done_tasks_;
    Report(now, worker, end, *task,
           {task->done_by->number, task->done_by->worker},
           "was done by another run");
    return;
  }
  task->done_by = this_run;
  // The table, or a gang, told that the task is done, and not by which run.
  if (task->progress.done) return;
  for (const std::uint64_t id : task->runs) {
    const auto found = runs.all().find(id);
    if (found == runs.all().end()) continue;
    const Run& run = found->second;
    if (run.key == end.run && run.worker == this_run.worker) continue;
    ++of_restarted_tasks_;
    Report(now, worker, end, *task, {run.key.number, run.worker},
           "has another run");
    return;
  }
}

void RepeatedEndMonitor::Report(TimePoint now, const TrackedWorker& worker,
                                const EndedRunReport& end,
                                const TrackedTask& task, const Other& other,
                                const std::string& what) {
  const std::optional<std::uint64_t> unwritten = lines_.Admit(now);
  if (!unwritten) return;
  const TaskKey& key = end.run.task;
  LogWarning(
      LogPart::kPlacer,
      "a run ended as done whose task " + what + " job=" + key.job.value() +
          " occurrence=" + std::to_string(key.occurrence) + " step=" +
          std::to_string(key.step) + " task=" + std::to_string(key.index) +
          " run=" + std::to_string(end.run.number) +
          " worker=" + worker.registration().worker.value() +
          " started_by=" + StarterOf(task, end.run.number) +
          " other_run=" + std::to_string(other.number) +
          " other_worker=" + other.worker.value() +
          " other_started_by=" + StarterOf(task, other.number) +
          " lines_left_out=" + std::to_string(*unwritten));
}

}  // namespace chivewing
