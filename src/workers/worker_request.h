#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

// Command that tells a worker to start a task.
struct StartTaskCommand {
  TaskId task;
  EntryName entry;
  // True if the task listens at an address and responds to requests.
  bool service = false;
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  int priority = 0;
  std::chrono::milliseconds run_time{0};  // 0: runs until stopped
  int slots = 0;                          // services only
  int connections = 0;                    // services only
};

enum class WorkerRequestKind {
  kStart,
  kStop,
  kCheckpoint,
  kThrottle,
  kRenew,
  kList
};

// A request to a worker. At most one per worker is in flight.
struct WorkerRequest {
  WorkerId worker;
  std::string address;  // IP:PORT
  std::uint64_t request_id = 0;
  WorkerRequestKind kind = WorkerRequestKind::kList;
  std::uint64_t epoch = 0;
  std::chrono::milliseconds lease{0};
  std::chrono::milliseconds timeout{0};
  // Latest time, on the worker's own clock, at which the worker may execute the
  // request; unset while that clock is unknown.
  std::optional<std::chrono::milliseconds> not_after;
  std::vector<StartTaskCommand> starts;  // kStart only
  std::vector<TaskId> tasks;             // kinds other than kStart
};

enum class StartStatus { kStarted, kAlreadyExists, kNoRoom, kFailed };

struct StartResult {
  TaskId task;
  StartStatus status = StartStatus::kFailed;
  std::string address;  // IP:PORT; services only
};

enum class WorkerTaskState {
  kRunning,
  kDone,
  kFailed,
  kStopped,
  kCheckpointed,
  kLeaseExpired,
};

// A task as reported in a worker's task list, with its last measured usage.
struct WorkerTask {
  TaskId task;
  WorkerTaskState state = WorkerTaskState::kRunning;
  std::string address;
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
};

enum class WorkerResponseStatus {
  kAnswered,
  kRefused,     // epoch too low or past not_after: certainly not executed
  kNotSent,     // certainly not executed
  kNoResponse,  // may have been executed, or may yet be until not_after
};

// Result of a WorkerRequest.
struct WorkerResponse {
  WorkerId worker;
  std::uint64_t request_id = 0;
  WorkerResponseStatus status = WorkerResponseStatus::kNoResponse;
  // Highest epoch that the worker has seen; set when it refused the request.
  std::uint64_t epoch = 0;
  std::chrono::milliseconds worker_clock{0};
  std::vector<StartResult> started;  // kStart only
  // kStop and kCheckpoint: tasks that are stopped. kRenew: tasks that the
  // worker does not know.
  std::vector<TaskId> tasks;
  std::vector<WorkerTask> listed;  // kList only
};

}  // namespace chivewing
