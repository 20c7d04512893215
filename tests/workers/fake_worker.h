#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "workers/worker_request.h"

namespace chivewing {

// In-memory worker as specified in docs/PROTOCOLS.md, with a clock that runs at
// its own rate.
class FakeWorker {
 public:
  explicit FakeWorker(double clock_speed) : clock_speed_(clock_speed) {}

  // Ends the tasks whose lease has expired.
  void ExpireLeases(TimePoint now) {
    for (auto& [id, task] : tasks_) {
      const bool over = Clock(now) >= task.lease_end;
      if (over && task.state == WorkerTaskState::kRunning) {
        task.state = WorkerTaskState::kLeaseExpired;
      }
    }
  }

  WorkerResponse Handle(TimePoint now, const WorkerRequest& request) {
    ExpireLeases(now);
    WorkerResponse reply;
    reply.worker = request.worker;
    reply.request_id = request.request_id;
    reply.worker_clock = Clock(now);
    const bool late = check_not_after_ && request.not_after &&
                      Clock(now) > *request.not_after;
    if (request.kind != WorkerRequestKind::kList &&
        (request.epoch < epoch_ || late)) {
      reply.status = WorkerResponseStatus::kRefused;
      reply.epoch = epoch_;
      return reply;
    }
    reply.status = WorkerResponseStatus::kAnswered;
    if (request.kind != WorkerRequestKind::kList) epoch_ = request.epoch;
    Execute(now, request, reply);
    return reply;
  }

  bool IsRunning(const TaskId& task) const {
    const auto found = tasks_.find(task);
    return found != tasks_.end() &&
           found->second.state == WorkerTaskState::kRunning;
  }
  // Completes a running task without a stop command.
  void Finish(const TaskId& task) {
    if (IsRunning(task)) tasks_[task].state = WorkerTaskState::kDone;
  }
  void set_check_not_after(bool check) { check_not_after_ = check; }

 private:
  struct Task {
    WorkerTaskState state = WorkerTaskState::kRunning;
    std::chrono::milliseconds lease_end{0};
  };

  std::chrono::milliseconds Clock(TimePoint now) const {
    const auto real = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(real.count()) * clock_speed_));
  }

  void Execute(TimePoint now, const WorkerRequest& request,
               WorkerResponse& reply) {
    for (const StartTaskCommand& command : request.starts) {
      const bool exists = IsRunning(command.task);
      if (!exists) {
        tasks_[command.task] = {WorkerTaskState::kRunning,
                                Clock(now) + request.lease};
      }
      reply.started.push_back(
          {command.task,
           exists ? StartStatus::kAlreadyExists : StartStatus::kStarted, ""});
    }
    for (const TaskId& id : request.tasks)
      ExecuteForTask(now, request, id, reply);
    if (request.kind != WorkerRequestKind::kList) return;
    for (const auto& [id, task] : tasks_) {
      reply.listed.push_back({id, task.state, "", 0, 0});
    }
  }

  void ExecuteForTask(TimePoint now, const WorkerRequest& request,
                      const TaskId& id, WorkerResponse& reply) {
    if (request.kind == WorkerRequestKind::kRenew) {
      if (IsRunning(id)) {
        tasks_[id].lease_end = Clock(now) + request.lease;
      } else {
        reply.tasks.push_back(id);
      }
      return;
    }
    if (IsRunning(id)) {
      tasks_[id].state = WorkerTaskState::kStopped;
    } else {
      tasks_.erase(id);
    }
    reply.tasks.push_back(id);
  }

  double clock_speed_;
  bool check_not_after_ = true;
  std::uint64_t epoch_ = 0;
  std::map<TaskId, Task> tasks_;
};

}  // namespace chivewing
