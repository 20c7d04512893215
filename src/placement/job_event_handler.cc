#include "placement/job_event_handler.h"

#include "placement/placer_state.h"
#include "placement/service_scale_down.h"

namespace chivewing {
namespace {

constexpr std::string_view kCancelled = "the job was cancelled";

}  // namespace

void JobEventHandler::Submit(TimePoint now, const JobSpec& job,
                             Effects& effects) {
  const JobIndex known = state_.jobs.Find(job.id);
  if (known != kNoIndex) {
    Update(now, known, job, effects);
    return;
  }
  if (state_.workers.size() > 0) {
    const std::string reason = state_.ExplainNeverFits(job);
    if (!reason.empty()) {
      effects.emplace_back(JobRefused{job.id, ResultCode::kNeverFits, reason});
      return;
    }
  }
  Job added;
  added.spec = job;
  const JobIndex index = state_.jobs.Add(job.id, std::move(added));
  state_.UpdateQueueMembership(now, index);
}

void JobEventHandler::Cancel(TimePoint now, std::span<const JobId> jobs,
                             Effects& effects) {
  for (const JobId& id : jobs) {
    const JobIndex index = state_.jobs.Find(id);
    if (index != kNoIndex) CancelOne(now, index, effects);
  }
}

void JobEventHandler::Update(TimePoint now, JobIndex index, const JobSpec& job,
                             Effects& effects) {
  Job& known = state_.jobs.at(index);
  if (known.cancelled) return;
  // The key in the queue depends on the specification, so the job leaves the
  // queue before the change.
  if (known.queue_position) {
    state_.queue.Remove(WaitingJobQueue::KeyOf(known.spec),
                        *known.queue_position);
    known.queue_position.reset();
  }
  // The reservation and the claims were made for the old size.
  state_.reservations.Remove(index);
  state_.RemoveClaimsOfJob(index);
  const bool spread_before = known.spec.spread;
  known.spec = job;
  known.spec.spread = spread_before;
  known.unplaceable = false;
  ScaleDownService(state_, now, index, effects);
  state_.FinishJobIfDone(now, index, effects);
}

void JobEventHandler::CancelOne(TimePoint now, JobIndex index,
                                Effects& effects) {
  Job& job = state_.jobs.at(index);
  if (job.cancelled) return;
  job.cancelled = true;
  const std::vector<TaskIndex> tasks = job.tasks;
  for (const TaskIndex task : tasks) {
    // The row of a task whose commit is unconfirmed is deleted once the commit
    // succeeds.
    if (state_.tasks.at(task).state == TaskState::kCommitPending) continue;
    state_.RequestTaskStop(now, task, StopMode::kStop, kCancelled, effects);
  }

  state_.FinishJobIfDone(now, index, effects);
}

}  // namespace chivewing
