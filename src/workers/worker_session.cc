#include "workers/worker_session.h"

#include <algorithm>
#include <utility>

namespace chivewing {
namespace {

// Number of renewal attempts within the duration of a lease.
constexpr int kRenewalsALease = 3;

Duration WithDrift(Duration time, double drift) {
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

void WorkerSession::Start(const StartTaskCommand& order, bool lapses) {
  Task& task = tasks_[order.task];
  task.order = order;
  task.lapses = lapses;
  task.endless = order.run_time.count() == 0;
}

void WorkerSession::Adopt(TimePoint now, const TaskId& task, bool lapses) {
  Task& adopted = tasks_[task];
  adopted.phase = Phase::kRunning;
  adopted.order.task = task;
  adopted.lapses = lapses;
  adopted.adopted = true;
  // The previous placer sent its last command before its own lease expired, and
  // therefore before `now`.
  adopted.lease_over = LeaseEnd(OrderEnd(now));
}

void WorkerSession::Stop(const TaskId& task, bool checkpoint) {
  const auto found = tasks_.find(task);
  if (found == tasks_.end()) return;
  found->second.to_stop = true;
  found->second.checkpoint = checkpoint;
}

void WorkerSession::Throttle(const TaskId& task) {
  const auto found = tasks_.find(task);
  if (found != tasks_.end()) found->second.to_throttle = true;
}

void WorkerSession::Forget(const TaskId& task) { tasks_.erase(task); }

TimePoint WorkerSession::OrderEnd(TimePoint now) const {
  return now + settings_.call_timeout +
         WithDrift(settings_.command_validity, settings_.max_clock_drift);
}

TimePoint WorkerSession::LeaseEnd(TimePoint renewed_by) const {
  return renewed_by +
         WithDrift(settings_.task_lease, settings_.max_clock_drift);
}

void WorkerSession::Tick(TimePoint now, Effects& out) {
  CheckSilence(now, out);
  if (open_ || now < retry_at_) return;
  // The first request tells the worker this session's epoch: from then on the
  // worker refuses commands of a previous placer that are still in flight.
  if (!fenced_first_) {
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

void WorkerSession::CheckSilence(TimePoint now, Effects& out) {
  silent_ = unanswered_since_ &&
            now - *unanswered_since_ >= settings_.unresponsive_timeout;
  if (!silent_) return;
  std::vector<TaskId> over;
  for (auto& [id, task] : tasks_) {
    if (!std::exchange(task.silence_told, true))
      out.emplace_back(TaskUnreachable{id});
    const bool never_sent =
        task.phase == Phase::kToStart && !task.order_open_until;
    if (!task.lapses || never_sent) continue;
    if (now >= task.lease_over) over.push_back(id);
  }
  for (const TaskId& id : over) {
    tasks_.erase(id);
    out.emplace_back(TaskLeaseEndConfirmed{id});
  }
}

Duration WorkerSession::ListInterval() const {
  const bool all_endless =
      std::all_of(tasks_.begin(), tasks_.end(), [](const auto& each) {
        const Task& task = each.second;
        return task.phase == Phase::kRunning && task.endless;
      });
  return all_endless ? settings_.idle_list_interval : settings_.list_interval;
}

bool WorkerSession::SendStops(TimePoint now, Effects& out) {
  if (now < next_stop_) return false;
  WorkerRequest call;
  call.kind = WorkerRequestKind::kStop;
  call.tasks.assign(acknowledge_.begin(), acknowledge_.end());
  for (auto& [id, task] : tasks_) {
    if (!task.to_stop || call.tasks.size() >= settings_.max_tasks_per_request)
      continue;
    // A start command that may still be executed could take effect after the
    // stop.
    if (task.order_open_until && now < *task.order_open_until) continue;
    if (task.checkpoint) call.kind = WorkerRequestKind::kCheckpoint;
    call.tasks.push_back(id);
  }
  if (call.tasks.empty()) return false;
  next_stop_ = now + settings_.stop_interval;
  Send(now, std::move(call), out);
  return true;
}

bool WorkerSession::SendStarts(TimePoint now, Effects& out) {
  WorkerRequest call;
  call.kind = WorkerRequestKind::kStart;
  for (auto& [id, task] : tasks_) {
    if (task.phase != Phase::kToStart || task.to_stop) continue;
    if (call.starts.size() >= settings_.max_tasks_per_request) break;
    task.phase = Phase::kStarting;
    task.order_open_until = OrderEnd(now);
    task.lease_over = LeaseEnd(*task.order_open_until);
    call.starts.push_back(task.order);
    // Moves the next list forward, so that the end of the task is noticed soon.
    if (!task.endless) {
      next_list_ =
          std::min<TimePoint>(next_list_, now + settings_.list_interval);
    }
  }
  if (call.starts.empty()) return false;
  Send(now, std::move(call), out);
  return true;
}

bool WorkerSession::SendThrottles(TimePoint now, Effects& out) {
  WorkerRequest call;
  call.kind = WorkerRequestKind::kThrottle;
  for (auto& [id, task] : tasks_) {
    if (std::exchange(task.to_throttle, false)) call.tasks.push_back(id);
  }
  if (call.tasks.empty()) return false;
  Send(now, std::move(call), out);
  return true;
}

bool WorkerSession::SendRenewal(TimePoint now, Effects& out) {
  WorkerRequest call;
  call.kind = WorkerRequestKind::kRenew;
  for (auto& [id, task] : tasks_) {
    if (task.phase != Phase::kRunning || task.to_stop) continue;
    task.lease_over = std::max(task.lease_over, LeaseEnd(OrderEnd(now)));
    call.tasks.push_back(id);
  }
  next_renewal_ = now + settings_.task_lease / kRenewalsALease;
  if (call.tasks.empty() && fenced_first_) return false;
  Send(now, std::move(call), out);
  return true;
}

bool WorkerSession::SendList(TimePoint now, Effects& out) {
  next_list_ = now + ListInterval();
  WorkerRequest call;
  call.kind = WorkerRequestKind::kList;
  Send(now, std::move(call), out);
  return true;
}

void WorkerSession::Send(TimePoint now, WorkerRequest call, Effects& out) {
  call.worker = worker_;
  call.address = address_;
  call.request_id = next_call_++;
  call.epoch = epoch_;
  call.lease = settings_.task_lease;
  call.timeout = settings_.call_timeout;
  if (worker_clock_) {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - worker_clock_at_);
    call.not_after = *worker_clock_ + since + settings_.command_validity;
  }
  open_ = OpenCall{call, now};
  out.emplace_back(std::move(call));
}

void WorkerSession::OnReply(TimePoint now, const WorkerResponse& reply,
                            Effects& out) {
  if (!open_ || open_->call.request_id != reply.request_id) return;
  const OpenCall open = std::move(*open_);
  open_.reset();
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
      OnNoAnswer(now, open);
      return;
    case WorkerResponseStatus::kNoResponse:
      OnNoAnswer(now, open);
      return;
  }
}

void WorkerSession::OnNoAnswer(TimePoint now, const OpenCall& open) {
  if (!unanswered_since_) unanswered_since_ = open.sent_at;
  retry_at_ = now + settings_.retry_interval;
  if (open.call.kind != WorkerRequestKind::kStart) return;
  // Sending the start again is safe: the worker responds `exists` to a second
  // command for the same task.
  for (const StartTaskCommand& order : open.call.starts) {
    const auto found = tasks_.find(order.task);
    if (found == tasks_.end()) continue;
    if (found->second.phase != Phase::kStarting) continue;
    found->second.phase = Phase::kToStart;
  }
}

void WorkerSession::ReturnStarts(const OpenCall& open) {
  for (const StartTaskCommand& order : open.call.starts) {
    const auto found = tasks_.find(order.task);
    if (found == tasks_.end()) continue;
    found->second.phase = Phase::kToStart;
  }
}

void WorkerSession::OnAnswered(TimePoint now, const OpenCall& open,
                               const WorkerResponse& reply, Effects& out) {
  unanswered_since_.reset();
  worker_clock_ = reply.worker_clock;
  worker_clock_at_ = now;
  for (auto& [id, task] : tasks_) task.silence_told = false;
  switch (open.call.kind) {
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
      next_list_ = fenced_first_ ? next_list_ : now;
      fenced_first_ = true;
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
      task.order_open_until.reset();
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
    acknowledge_.erase(id);
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    const bool checkpoint = found->second.checkpoint;
    tasks_.erase(found);
    out.emplace_back(TaskEndConfirmed{id, checkpoint
                                              ? WorkerTaskState::kCheckpointed
                                              : WorkerTaskState::kStopped});
  }
}

void WorkerSession::OnRenewed(const OpenCall& open,
                              const WorkerResponse& reply) {
  for (const TaskId& id : open.call.tasks) {
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    found->second.lease_over =
        std::min(found->second.lease_over,
                 LeaseEnd(open.sent_at + settings_.call_timeout));
  }
  // A task that the worker does not know has ended; the list reports how.
  if (!reply.tasks.empty()) next_list_ = open.sent_at;
}

void WorkerSession::OnListed(TimePoint now, const OpenCall& open,
                             const WorkerResponse& reply, Effects& out) {
  std::set<TaskId> seen;
  for (const WorkerTask& listed : reply.listed) {
    seen.insert(listed.task);
    OnListedTask(listed, out);
  }
  std::vector<TaskId> missing;
  for (const auto& [id, task] : tasks_) {
    if (task.phase != Phase::kRunning || seen.contains(id)) continue;
    if (task.order_open_until && now < *task.order_open_until) continue;
    missing.push_back(id);
  }
  for (const TaskId& id : missing) End(id, WorkerTaskState::kLeaseExpired, out);
  next_list_ = open.sent_at + ListInterval();
}

void WorkerSession::OnListedTask(const WorkerTask& listed, Effects& out) {
  const auto found = tasks_.find(listed.task);
  if (found == tasks_.end()) {
    // Either an ended task that is no longer needed, or a running task without
    // a row in the table: the worker is told to drop both.
    acknowledge_.insert(listed.task);
    return;
  }
  Task& task = found->second;
  if (listed.state != WorkerTaskState::kRunning) {
    if (task.phase != Phase::kRunning) return;
    End(listed.task, listed.state, out);
    return;
  }
  const bool news = task.phase != Phase::kRunning || task.adopted;
  task.phase = Phase::kRunning;
  task.adopted = false;
  task.order_open_until.reset();
  if (news) out.emplace_back(TaskRunningConfirmed{listed.task, listed.address});
  out.emplace_back(
      TaskUsage{listed.task, listed.processors_milli, listed.memory_mb});
}

void WorkerSession::End(const TaskId& task, WorkerTaskState state,
                        Effects& out) {
  tasks_.erase(task);
  acknowledge_.insert(task);
  out.emplace_back(TaskEndConfirmed{task, state});
}

}  // namespace chivewing
