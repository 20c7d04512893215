#include "workers/worker_session.h"

#include <algorithm>
#include <utility>

namespace chivewing {
namespace {

// Number of renewal attempts within the duration of a lease.
constexpr int kRenewalsPerLease = 3;

Duration AddDriftMargin(Duration time, double drift) {
  const auto extra = static_cast<double>(time.count()) * drift;
  return time + Duration(static_cast<Duration::rep>(extra));
}

}  // namespace

WorkerSession::WorkerSession(WorkerId worker, std::string address,
                             std::uint64_t epoch,
                             WorkerSessionSettings settings)
    : worker_(std::move(worker)),
      address_(std::move(address)),
      epoch_(epoch),
      settings_(settings) {}

void WorkerSession::Start(const StartTaskCommand& command,
                          bool lease_may_expire) {
  Task& task = tasks_[command.task];
  task.command = command;
  task.lease_may_expire = lease_may_expire;
  task.runs_until_stopped = command.run_time.count() == 0;
}

void WorkerSession::Adopt(TimePoint now, const TaskId& task,
                          bool lease_may_expire) {
  Task& adopted = tasks_[task];
  adopted.phase = Phase::kRunning;
  adopted.command.task = task;
  adopted.lease_may_expire = lease_may_expire;
  adopted.adopted = true;
  // The previous placer sent its last command before its own lease expired, and
  // therefore before `now`.
  adopted.lease_expires_by = LatestLeaseExpiry(CommandExpiry(now));
}

void WorkerSession::Stop(const TaskId& task, bool checkpoint) {
  const auto found = tasks_.find(task);
  if (found == tasks_.end()) return;
  found->second.stop_requested = true;
  found->second.checkpoint = checkpoint;
}

void WorkerSession::Throttle(const TaskId& task) {
  const auto found = tasks_.find(task);
  if (found != tasks_.end()) found->second.throttle_requested = true;
}

void WorkerSession::Forget(const TaskId& task) { tasks_.erase(task); }

TimePoint WorkerSession::CommandExpiry(TimePoint now) const {
  return now + settings_.call_timeout +
         AddDriftMargin(settings_.command_validity, settings_.max_clock_drift);
}

TimePoint WorkerSession::LatestLeaseExpiry(TimePoint renewed_by) const {
  return renewed_by +
         AddDriftMargin(settings_.task_lease, settings_.max_clock_drift);
}

void WorkerSession::Tick(TimePoint now, Effects& out) {
  CheckResponsiveness(now, out);
  if (in_flight_ || now < retry_at_) return;
  // The first request tells the worker this session's epoch: from then on the
  // worker refuses commands of a previous placer that are still in flight.
  if (!epoch_announced_) {
    SendRenewal(now, out);
    return;
  }
  if (!worker_clock_) {
    SendList(now, out);
    return;
  }
  if (SendStops(now, out) || SendStarts(now, out) || SendThrottles(now, out)) {
    return;
  }
  if (now >= next_renewal_ && SendRenewal(now, out)) return;
  if (now >= next_list_) SendList(now, out);
}

void WorkerSession::CheckResponsiveness(TimePoint now, Effects& out) {
  unresponsive_ = unanswered_since_ &&
                  now - *unanswered_since_ >= settings_.unresponsive_timeout;
  if (!unresponsive_) return;
  std::vector<TaskId> expired;
  for (auto& [id, task] : tasks_) {
    if (!std::exchange(task.unreachable_reported, true))
      out.emplace_back(TaskUnreachable{id});
    const bool never_sent =
        task.phase == Phase::kToStart && !task.start_pending_until;
    if (!task.lease_may_expire || never_sent) continue;
    if (now >= task.lease_expires_by) expired.push_back(id);
  }
  for (const TaskId& id : expired) {
    tasks_.erase(id);
    out.emplace_back(TaskLeaseEndConfirmed{id});
  }
}

Duration WorkerSession::ListInterval() const {
  const bool all_run_until_stopped =
      std::all_of(tasks_.begin(), tasks_.end(), [](const auto& each) {
        const Task& task = each.second;
        return task.phase == Phase::kRunning && task.runs_until_stopped;
      });
  return all_run_until_stopped ? settings_.idle_list_interval
                               : settings_.list_interval;
}

bool WorkerSession::SendStops(TimePoint now, Effects& out) {
  if (now < next_stop_) return false;
  WorkerRequest request;
  request.kind = WorkerRequestKind::kStop;
  request.tasks.assign(tasks_to_drop_.begin(), tasks_to_drop_.end());
  for (auto& [id, task] : tasks_) {
    if (!task.stop_requested ||
        request.tasks.size() >= settings_.max_tasks_per_request)
      continue;
    // A start command that may still be executed could take effect after the
    // stop.
    if (task.start_pending_until && now < *task.start_pending_until) continue;
    if (task.checkpoint) request.kind = WorkerRequestKind::kCheckpoint;
    request.tasks.push_back(id);
  }
  if (request.tasks.empty()) return false;
  next_stop_ = now + settings_.stop_interval;
  Send(now, std::move(request), out);
  return true;
}

bool WorkerSession::SendStarts(TimePoint now, Effects& out) {
  WorkerRequest request;
  request.kind = WorkerRequestKind::kStart;
  for (auto& [id, task] : tasks_) {
    if (task.phase != Phase::kToStart || task.stop_requested) continue;
    if (request.starts.size() >= settings_.max_tasks_per_request) break;
    task.phase = Phase::kStarting;
    task.start_pending_until = CommandExpiry(now);
    task.lease_expires_by = LatestLeaseExpiry(*task.start_pending_until);
    request.starts.push_back(task.command);
    // Moves the next list forward, so that the end of the task is noticed soon.
    if (!task.runs_until_stopped) {
      next_list_ =
          std::min<TimePoint>(next_list_, now + settings_.list_interval);
    }
  }
  if (request.starts.empty()) return false;
  Send(now, std::move(request), out);
  return true;
}

bool WorkerSession::SendThrottles(TimePoint now, Effects& out) {
  WorkerRequest request;
  request.kind = WorkerRequestKind::kThrottle;
  for (auto& [id, task] : tasks_) {
    if (std::exchange(task.throttle_requested, false))
      request.tasks.push_back(id);
  }
  if (request.tasks.empty()) return false;
  Send(now, std::move(request), out);
  return true;
}

bool WorkerSession::SendRenewal(TimePoint now, Effects& out) {
  WorkerRequest request;
  request.kind = WorkerRequestKind::kRenew;
  for (auto& [id, task] : tasks_) {
    if (task.phase != Phase::kRunning || task.stop_requested) continue;
    task.lease_expires_by =
        std::max(task.lease_expires_by, LatestLeaseExpiry(CommandExpiry(now)));
    request.tasks.push_back(id);
  }
  next_renewal_ = now + settings_.task_lease / kRenewalsPerLease;
  if (request.tasks.empty() && epoch_announced_) return false;
  Send(now, std::move(request), out);
  return true;
}

bool WorkerSession::SendList(TimePoint now, Effects& out) {
  next_list_ = now + ListInterval();
  WorkerRequest request;
  request.kind = WorkerRequestKind::kList;
  Send(now, std::move(request), out);
  return true;
}

void WorkerSession::Send(TimePoint now, WorkerRequest request, Effects& out) {
  request.worker = worker_;
  request.address = address_;
  request.request_id = next_request_id_++;
  request.epoch = epoch_;
  request.lease = settings_.task_lease;
  request.timeout = settings_.call_timeout;
  if (worker_clock_) {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - worker_clock_at_);
    request.not_after = *worker_clock_ + since + settings_.command_validity;
  }
  in_flight_ = InFlightRequest{request, now};
  out.emplace_back(std::move(request));
}

void WorkerSession::OnReply(TimePoint now, const WorkerResponse& reply,
                            Effects& out) {
  if (!in_flight_ || in_flight_->request.request_id != reply.request_id) return;
  const InFlightRequest open = std::move(*in_flight_);
  in_flight_.reset();
  switch (reply.status) {
    case WorkerResponseStatus::kAnswered:
      OnAnswered(now, open, reply, out);
      return;
    case WorkerResponseStatus::kRefused:
      ReturnStarts(open);
      unanswered_since_.reset();
      retry_at_ = now + settings_.retry_interval;
      worker_clock_.reset();
      if (reply.epoch > epoch_) out.emplace_back(EpochSuperseded{reply.epoch});
      return;
    case WorkerResponseStatus::kNotSent:
      ReturnStarts(open);
      OnNoResponse(now, open);
      return;
    case WorkerResponseStatus::kNoResponse:
      OnNoResponse(now, open);
      return;
  }
}

void WorkerSession::OnNoResponse(TimePoint now, const InFlightRequest& open) {
  if (!unanswered_since_) unanswered_since_ = open.sent_at;
  retry_at_ = now + settings_.retry_interval;
  if (open.request.kind != WorkerRequestKind::kStart) return;
  // Sending the start again is safe: the worker responds `exists` to a second
  // command for the same task.
  for (const StartTaskCommand& command : open.request.starts) {
    const auto found = tasks_.find(command.task);
    if (found == tasks_.end()) continue;
    if (found->second.phase != Phase::kStarting) continue;
    found->second.phase = Phase::kToStart;
  }
}

void WorkerSession::ReturnStarts(const InFlightRequest& open) {
  for (const StartTaskCommand& command : open.request.starts) {
    const auto found = tasks_.find(command.task);
    if (found == tasks_.end()) continue;
    found->second.phase = Phase::kToStart;
  }
}

void WorkerSession::OnAnswered(TimePoint now, const InFlightRequest& open,
                               const WorkerResponse& reply, Effects& out) {
  unanswered_since_.reset();
  worker_clock_ = reply.worker_clock;
  worker_clock_at_ = now;
  for (auto& [id, task] : tasks_) task.unreachable_reported = false;
  switch (open.request.kind) {
    case WorkerRequestKind::kStart:
      OnStarted(reply, out);
      return;
    case WorkerRequestKind::kStop:
    case WorkerRequestKind::kCheckpoint:
      OnStopped(reply, out);
      return;
    case WorkerRequestKind::kThrottle:
      return;
    case WorkerRequestKind::kRenew:
      OnRenewed(open, reply);
      next_list_ = epoch_announced_ ? next_list_ : now;
      epoch_announced_ = true;
      return;
    case WorkerRequestKind::kList:
      OnListed(now, open, reply, out);
      return;
  }
}

void WorkerSession::OnStarted(const WorkerResponse& reply, Effects& out) {
  for (const StartResult& result : reply.started) {
    const auto found = tasks_.find(result.task);
    if (found == tasks_.end()) continue;
    Task& task = found->second;
    if (result.status == StartStatus::kStarted ||
        result.status == StartStatus::kAlreadyExists) {
      task.phase = Phase::kRunning;
      task.start_pending_until.reset();
      out.emplace_back(TaskRunningConfirmed{result.task, result.address});
      continue;
    }
    tasks_.erase(found);
    const bool no_room = result.status == StartStatus::kNoRoom;
    out.emplace_back(TaskStartRejected{result.task, no_room});
  }
}

void WorkerSession::OnStopped(const WorkerResponse& reply, Effects& out) {
  for (const TaskId& id : reply.tasks) {
    tasks_to_drop_.erase(id);
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    const bool checkpoint = found->second.checkpoint;
    tasks_.erase(found);
    out.emplace_back(TaskEndConfirmed{id, checkpoint
                                              ? WorkerTaskState::kCheckpointed
                                              : WorkerTaskState::kStopped});
  }
}

void WorkerSession::OnRenewed(const InFlightRequest& open,
                              const WorkerResponse& reply) {
  for (const TaskId& id : open.request.tasks) {
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    found->second.lease_expires_by =
        std::min(found->second.lease_expires_by,
                 LatestLeaseExpiry(open.sent_at + settings_.call_timeout));
  }
  // A task that the worker does not know has ended; the list reports how.
  if (!reply.tasks.empty()) next_list_ = open.sent_at;
}

void WorkerSession::OnListed(TimePoint now, const InFlightRequest& open,
                             const WorkerResponse& reply, Effects& out) {
  std::set<TaskId> seen;
  for (const WorkerTask& listed : reply.listed) {
    seen.insert(listed.task);
    OnListedTask(listed, out);
  }
  std::vector<TaskId> missing;
  for (const auto& [id, task] : tasks_) {
    if (task.phase != Phase::kRunning || seen.contains(id)) continue;
    if (task.start_pending_until && now < *task.start_pending_until) continue;
    missing.push_back(id);
  }
  for (const TaskId& id : missing)
    ReportEnd(id, WorkerTaskState::kLeaseExpired, out);
  next_list_ = open.sent_at + ListInterval();
}

void WorkerSession::OnListedTask(const WorkerTask& listed, Effects& out) {
  const auto found = tasks_.find(listed.task);
  if (found == tasks_.end()) {
    // Either an ended task that is no longer needed, or a running task without
    // a row in the table: the worker is told to drop both.
    tasks_to_drop_.insert(listed.task);
    return;
  }
  Task& task = found->second;
  if (listed.state != WorkerTaskState::kRunning) {
    if (task.phase != Phase::kRunning) return;
    ReportEnd(listed.task, listed.state, out);
    return;
  }
  const bool newly_running = task.phase != Phase::kRunning || task.adopted;
  task.phase = Phase::kRunning;
  task.adopted = false;
  task.start_pending_until.reset();
  if (newly_running)
    out.emplace_back(TaskRunningConfirmed{listed.task, listed.address});
  out.emplace_back(
      TaskUsage{listed.task, listed.processors_milli, listed.memory_mb});
}

void WorkerSession::ReportEnd(const TaskId& task, WorkerTaskState state,
                              Effects& out) {
  tasks_.erase(task);
  tasks_to_drop_.insert(task);
  out.emplace_back(TaskEndConfirmed{task, state});
}

}  // namespace chivewing
