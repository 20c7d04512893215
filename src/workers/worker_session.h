#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "workers/worker_request.h"

namespace chivewing {

// The worker runs the task. `address` is set for services.
struct TaskRunningConfirmed {
  TaskId task;
  std::string address;
};

// The worker did not start the task and certainly will not.
struct TaskStartRejected {
  TaskId task;
  bool no_room = false;
};

// The task has certainly ended.
struct TaskEndConfirmed {
  TaskId task;
  WorkerTaskState state = WorkerTaskState::kStopped;
};

// The worker is unresponsive: the task may or may not be running.
struct TaskUnreachable {
  TaskId task;
};

// The worker is unresponsive and the lease of the task has certainly expired.
struct TaskLeaseEndConfirmed {
  TaskId task;
};

// Measured resource usage of the task; the worker reports it with a delay.
struct TaskUsage {
  TaskId task;
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
};

// The worker has seen a higher epoch: another host has become the placer.
struct EpochSuperseded {
  std::uint64_t epoch = 0;
};

using WorkerEffect =
    std::variant<WorkerRequest, TaskRunningConfirmed, TaskStartRejected,
                 TaskEndConfirmed, TaskUnreachable, TaskLeaseEndConfirmed,
                 TaskUsage, EpochSuperseded>;

struct WorkerSessionSettings {
  std::chrono::milliseconds task_lease{15000};
  std::chrono::milliseconds call_timeout{1000};
  // A worker refuses a command that it reads later than this after the command
  // was sent.
  std::chrono::milliseconds command_validity{2000};
  std::chrono::milliseconds list_interval{1000};
  // Replaces `list_interval` while all tasks are running and run until stopped:
  // a list then brings little but their usage.
  std::chrono::milliseconds idle_list_interval{5000};
  std::chrono::milliseconds retry_interval{500};
  // The worker counts as unresponsive after this time without a response.
  std::chrono::milliseconds unresponsive_timeout{3000};
  // Maximum difference between clock rates, as a fraction of the elapsed time.
  double max_clock_drift = 0.01;
  std::size_t max_tasks_per_request = 64;
  // Time between two stop commands while a service completes its requests.
  std::chrono::milliseconds stop_interval{200};
};

// The placer's session with one worker: starts, stops and throttles tasks and
// renews their leases. Takes commands, responses and the time; returns requests
// and task events as effects. No I/O and no clock.
//
// At most one request is in flight, so that commands cannot overtake each
// other. Each command has a latest execution time on the worker's own clock,
// which is known from its responses: a command without a response has either
// been executed by a known time or never will be.
class WorkerSession {
 public:
  using Effects = std::vector<WorkerEffect>;

  WorkerSession(WorkerId worker, std::string address, std::uint64_t epoch,
                WorkerSessionSettings settings);

  void set_address(std::string address) { address_ = std::move(address); }

  // Starts a task. `lease_may_expire` is true if only this session renews the
  // lease of the task, so that the lease's expiry can be derived from the time.
  void Start(const StartTaskCommand& command, bool lease_may_expire);
  // Takes over a task of a previous placer. The task may or may not be
  // running.
  void Adopt(TimePoint now, const TaskId& task, bool lease_may_expire);
  // Stops a task, with a checkpoint if requested. TaskEndConfirmed follows once
  // the worker confirms it.
  void Stop(const TaskId& task, bool checkpoint);
  void Throttle(const TaskId& task);
  // Removes a task that is known to have ended.
  void Forget(const TaskId& task);

  void OnReply(TimePoint now, const WorkerResponse& reply, Effects& out);
  void Tick(TimePoint now, Effects& out);

  bool is_unresponsive() const { return unresponsive_; }
  bool empty() const { return tasks_.empty(); }

 private:
  enum class Phase { kToStart, kStarting, kRunning };
  struct Task {
    Phase phase = Phase::kToStart;
    StartTaskCommand command;
    bool lease_may_expire = false;
    // True after Adopt until the task appears in a list.
    bool adopted = false;
    // True if the task is known to run until it is stopped.
    bool runs_until_stopped = false;
    bool stop_requested = false;
    bool checkpoint = false;
    bool throttle_requested = false;
    // Time until which a pending start command may be executed; unset if none
    // is pending.
    std::optional<TimePoint> start_pending_until;
    // Time by which the lease at the worker has certainly expired.
    TimePoint lease_expires_by;
    bool unreachable_reported = false;
  };
  struct InFlightRequest {
    WorkerRequest request;
    TimePoint sent_at;
  };

  Duration ListInterval() const;
  bool SendStops(TimePoint now, Effects& out);
  bool SendStarts(TimePoint now, Effects& out);
  bool SendThrottles(TimePoint now, Effects& out);
  bool SendRenewal(TimePoint now, Effects& out);
  bool SendList(TimePoint now, Effects& out);
  void Send(TimePoint now, WorkerRequest request, Effects& out);
  void CheckResponsiveness(TimePoint now, Effects& out);
  TimePoint CommandExpiry(TimePoint now) const;
  TimePoint LatestLeaseExpiry(TimePoint renewed_by) const;

  void OnAnswered(TimePoint now, const InFlightRequest& open,
                  const WorkerResponse& reply, Effects& out);
  void OnStarted(const WorkerResponse& reply, Effects& out);
  void OnStopped(const WorkerResponse& reply, Effects& out);
  void OnRenewed(const InFlightRequest& open, const WorkerResponse& reply);
  void OnListed(TimePoint now, const InFlightRequest& open,
                const WorkerResponse& reply, Effects& out);
  void OnListedTask(const WorkerTask& listed, Effects& out);
  void OnNoResponse(TimePoint now, const InFlightRequest& open);
  void ReturnStarts(const InFlightRequest& open);
  void ReportEnd(const TaskId& task, WorkerTaskState state, Effects& out);

  WorkerId worker_;
  std::string address_;
  std::uint64_t epoch_;
  WorkerSessionSettings settings_;
  std::map<TaskId, Task> tasks_;
  // Tasks that the worker is told to stop and remove from its list.
  std::set<TaskId> tasks_to_drop_;
  std::optional<InFlightRequest> in_flight_;
  std::uint64_t next_request_id_ = 1;
  std::optional<std::chrono::milliseconds> worker_clock_;
  TimePoint worker_clock_at_;
  // True once the worker has seen this session's epoch.
  bool epoch_announced_ = false;
  TimePoint next_renewal_;
  TimePoint next_list_;
  TimePoint next_stop_;
  TimePoint retry_at_;
  std::optional<TimePoint> unanswered_since_;
  bool unresponsive_ = false;
};

}  // namespace chivewing
