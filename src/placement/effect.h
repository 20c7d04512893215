#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/result_code.h"
#include "placement/resources.h"

namespace chivewing {

// Identifies a group of task starts that is committed to the table in one
// transaction.
using BatchId = std::uint64_t;

enum class StopMode { kStop, kCheckpoint };

// Commit the row of the task together with the rest of its batch. The worker
// receives no start command before LaunchTask.
struct CommitTaskRow {
  BatchId batch = 0;
  TaskId task;
  JobId job;
  EntryName entry;
  OwnerId owner;
  WorkerId worker;
  Resources resources;
};

// The row is committed: send the worker a start command.
struct LaunchTask {
  TaskId task;
  JobId job;
  WorkerId worker;
};

// The row is committed, but the task is no longer needed and was never sent to
// a worker: delete the row.
struct DeleteTaskRow {
  TaskId task;
};

// Send the worker a stop command, repeatedly until the end of the task is
// confirmed.
struct StopTask {
  TaskId task;
  WorkerId worker;
  StopMode mode = StopMode::kStop;
  std::string reason;
};

// Command the worker to limit the task to its declared processors.
struct ThrottleTask {
  TaskId task;
  WorkerId worker;
  std::string reason;
};

// All tasks of a batch job or gang succeeded, or a cancelled job has no tasks
// left.
struct JobFinished {
  JobId job;
  bool cancelled = false;
};

// The submitted job was rejected and is not stored by the Placer.
struct JobRefused {
  JobId job;
  ResultCode code = ResultCode::kNeverFits;
  std::string detail;
};

// The job stays queued, but does not fit on the current workers even if they
// were empty.
struct JobUnplaceable {
  JobId job;
  ResultCode code = ResultCode::kNeverFits;
  std::string detail;
};

// The job failed repeatedly; its tasks start again after a backoff.
struct JobBackoffStarted {
  JobId job;
  std::string detail;
};

// Probe the quarantined worker once and report the result through
// Placer::OnProbeCompleted.
struct ProbeWorker {
  WorkerId worker;
};

struct WorkerQuarantined {
  WorkerId worker;
  std::string detail;
};

struct WorkerReadmitted {
  WorkerId worker;
};

// An output of a Placer, which the caller carries out.
using Effect = std::variant<CommitTaskRow, LaunchTask, DeleteTaskRow, StopTask,
                            ThrottleTask, JobFinished, JobRefused,
                            JobUnplaceable, JobBackoffStarted, ProbeWorker,
                            WorkerQuarantined, WorkerReadmitted>;
using Effects = std::vector<Effect>;

}  // namespace chivewing
