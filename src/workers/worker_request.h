#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

// A task as ordered from a worker.
struct StartTaskCommand {
  TaskId task;
  EntryName entry;
  bool service = false;  // listens and answers requests
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  int priority = 0;
  std::chrono::milliseconds run_time{0};  // 0: runs until stopped
  int slots = 0;                          // of a service
  int connections = 0;                    // of a service
};

enum class WorkerRequestKind {
  kStart,
  kStop,
  kCheckpoint,
  kThrottle,
  kRenew,
  kList
};

// One call to a worker. At most one is under way to each worker.
struct WorkerRequest {
  WorkerId worker;
  std::string address;  // IP:PORT
  std::uint64_t request_id = 0;
  WorkerRequestKind kind = WorkerRequestKind::kList;
  std::uint64_t epoch = 0;
  std::chrono::milliseconds lease{0};
  std::chrono::milliseconds timeout{0};
  // Latest time, on the worker's own clock, at which the worker may carry it
  // out; absent while that clock is not known.
  std::optional<std::chrono::milliseconds> not_after;
  std::vector<StartTaskCommand> starts;  // of kStart
  std::vector<TaskId> tasks;             // of the other kinds
};

enum class StartStatus { kStarted, kAlreadyExists, kNoRoom, kFailed };

struct StartResult {
  TaskId task;
  StartStatus status = StartStatus::kFailed;
  std::string address;  // of a service: IP:PORT
};

enum class WorkerTaskState {
  kRunning,
  kDone,
  kFailed,
  kStopped,
  kCheckpointed,
  kLeaseExpired,
};

// A task as a worker lists it, with its use as last measured.
struct WorkerTask {
  TaskId task;
  WorkerTaskState state = WorkerTaskState::kRunning;
  std::string address;
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
};

enum class WorkerResponseStatus {
  kAnswered,
  kRefused,     // lower epoch, or past not_after: certainly not carried out
  kNotSent,     // certainly not carried out
  kNoResponse,  // it may have been carried out, or yet be until not_after
};

// What came of a WorkerRequest.
struct WorkerResponse {
  WorkerId worker;
  std::uint64_t request_id = 0;
  WorkerResponseStatus status = WorkerResponseStatus::kNoResponse;
  std::uint64_t epoch = 0;  // highest that the worker has seen, when refused
  std::chrono::milliseconds worker_clock{0};
  std::vector<StartResult> started;  // of kStart
  std::vector<TaskId> tasks;       // stopped ones, or unknown ones of a kRenew
  std::vector<WorkerTask> listed;  // of kList
};

}  // namespace chivewing
