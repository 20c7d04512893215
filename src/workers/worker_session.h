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

// The worker runs the task; a service listens at `address`.
struct TaskRunningConfirmed {
  TaskId task;
  std::string address;
};

// The worker did not start the task, and certainly will not.
struct TaskStartRejected {
  TaskId task;
  bool no_room = false;
};

// The task certainly does not run any more.
struct TaskEndConfirmed {
  TaskId task;
  WorkerTaskState state = WorkerTaskState::kStopped;
};

// The worker does not answer: the task may or may not run.
struct TaskUnreachable {
  TaskId task;
};

// The lease of the task has run out for certain.
struct TaskLeaseEndConfirmed {
  TaskId task;
};

// What the task was measured to use; the worker reports it with a lag.
struct TaskUsage {
  TaskId task;
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
};

// The worker has seen a higher epoch: another host is the placer now.
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
  // An order is refused by a worker that reads it later than this.
  std::chrono::milliseconds command_validity{2000};
  std::chrono::milliseconds list_interval{1000};
  // While all tasks run until they are stopped: only their use is news then.
  std::chrono::milliseconds idle_list_interval{5000};
  std::chrono::milliseconds retry_interval{500};
  // Without any answer for this long the worker counts as silent.
  std::chrono::milliseconds unresponsive_timeout{3000};
  // Allowance for clocks that run at unlike speeds, as a share of a time.
  double max_clock_drift = 0.01;
  std::size_t max_tasks_per_request = 64;  // tasks a call
  // Between two stop orders, while a service finishes its requests.
  std::chrono::milliseconds stop_interval{200};
};

// Conversation of the placer with one worker: one call at a time, so that
// orders cannot overtake each other. Orders carry a not-after time of the
// worker's own clock, known from its answers; so an order that was not answered
// has either been carried out by a known time or never will be.
class WorkerSession {
 public:
  using Effects = std::vector<WorkerEffect>;

  WorkerSession(WorkerId worker, std::string address, std::uint64_t epoch,
                WorkerSessionSettings settings);

  void set_address(std::string address) { address_ = std::move(address); }

  // Starts a task. One that `lapses` has leases from this link alone, so their
  // end can be told by time.
  void Start(const StartTaskCommand& order, bool lapses);
  // Takes over a task of an earlier placer, which may or may not run.
  void Adopt(TimePoint now, const TaskId& task, bool lapses);
  // Stops a task. TaskEndConfirmed follows when that is confirmed.
  void Stop(const TaskId& task, bool checkpoint);
  void Throttle(const TaskId& task);
  // Drops a task that is known to have ended.
  void Forget(const TaskId& task);

  void OnReply(TimePoint now, const WorkerResponse& reply, Effects& out);
  void Tick(TimePoint now, Effects& out);

  bool is_unresponsive() const { return silent_; }
  bool empty() const { return tasks_.empty(); }

 private:
  enum class Phase { kToStart, kStarting, kRunning };
  struct Task {
    Phase phase = Phase::kToStart;
    StartTaskCommand order;
    bool lapses = false;
    bool adopted = false;  // not yet seen in a list
    bool endless = false;  // certainly runs until it is stopped
    bool to_stop = false;
    bool checkpoint = false;
    bool to_throttle = false;
    // A start order may be carried out until then; unset when none is open.
    std::optional<TimePoint> order_open_until;
    // The lease at the worker has certainly ended by then.
    TimePoint lease_over;
    bool silence_told = false;
  };
  struct OpenCall {
    WorkerRequest call;
    TimePoint sent_at;
  };

  Duration ListInterval() const;
  bool SendStops(TimePoint now, Effects& out);
  bool SendStarts(TimePoint now, Effects& out);
  bool SendThrottles(TimePoint now, Effects& out);
  bool SendRenewal(TimePoint now, Effects& out);
  bool SendList(TimePoint now, Effects& out);
  void Send(TimePoint now, WorkerRequest call, Effects& out);
  void CheckSilence(TimePoint now, Effects& out);
  TimePoint OrderEnd(TimePoint now) const;
  TimePoint LeaseEnd(TimePoint renewed_by) const;

  void OnAnswered(TimePoint now, const OpenCall& open,
                  const WorkerResponse& reply, Effects& out);
  void OnStarted(const WorkerResponse& reply, Effects& out);
  void OnStopped(const WorkerResponse& reply, Effects& out);
  void OnRenewed(const OpenCall& open, const WorkerResponse& reply);
  void OnListed(TimePoint now, const OpenCall& open,
                const WorkerResponse& reply, Effects& out);
  void OnListedTask(const WorkerTask& listed, Effects& out);
  void OnNoAnswer(TimePoint now, const OpenCall& open);
  void ReturnStarts(const OpenCall& open);
  void End(const TaskId& task, WorkerTaskState state, Effects& out);

  WorkerId worker_;
  std::string address_;
  std::uint64_t epoch_;
  WorkerSessionSettings settings_;
  std::map<TaskId, Task> tasks_;
  std::set<TaskId> acknowledge_;  // ended ones that the worker may forget
  std::optional<OpenCall> open_;
  std::uint64_t next_call_ = 1;
  std::optional<std::chrono::milliseconds> worker_clock_;
  TimePoint worker_clock_at_;
  bool fenced_first_ = false;  // the worker has seen our epoch
  TimePoint next_renewal_;
  TimePoint next_list_;
  TimePoint next_stop_;
  TimePoint retry_at_;
  std::optional<TimePoint> unanswered_since_;
  bool silent_ = false;
};

}  // namespace chivewing
