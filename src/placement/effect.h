#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/result_code.h"
#include "placement/resources.h"

namespace chivewing {

// Number of one group of decided starts that is committed to the table at once.
using BatchId = std::uint64_t;

enum class StopMode { kStop, kCheckpoint };

// Commit the row of this task with the others of its batch. The worker is told
// only after LaunchTask.
struct CommitTaskRow {
  BatchId batch = 0;
  TaskId task;
  JobId job;
  EntryName entry;
  OwnerId owner;
  WorkerId worker;
  Resources resources;
};

// The row is committed: order the worker to start the task.
struct LaunchTask {
  TaskId task;
  JobId job;
  WorkerId worker;
};

// The row is committed, but the task is no longer wanted and was never sent to
// a worker: remove the row.
struct DeleteTaskRow {
  TaskId task;
};

// Order the worker to stop the task, and repeat until its end is confirmed.
struct StopTask {
  TaskId task;
  WorkerId worker;
  StopMode mode = StopMode::kStop;
  std::string reason;
};

// Order the worker to hold the task to its declared processors.
struct ThrottleTask {
  TaskId task;
  WorkerId worker;
  std::string reason;
};

// All tasks of a batch job or gang ended well, or a cancelled job has no task
// left.
struct JobFinished {
  JobId job;
  bool cancelled = false;
};

// The job is not kept.
struct JobRefused {
  JobId job;
  ResultCode code = ResultCode::kNeverFits;
  std::string detail;
};

// The job is kept, but no worker could hold it now even when empty.
struct JobUnplaceable {
  JobId job;
  ResultCode code = ResultCode::kNeverFits;
  std::string detail;
};

// The job failed on several workers and waits before its next try.
struct JobBackoffStarted {
  JobId job;
  std::string detail;
};

// Test the quarantined worker once, and report by Placer::OnProbeCompleted.
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

using Effect = std::variant<CommitTaskRow, LaunchTask, DeleteTaskRow, StopTask,
                            ThrottleTask, JobFinished, JobRefused,
                            JobUnplaceable, JobBackoffStarted, ProbeWorker,
                            WorkerQuarantined, WorkerReadmitted>;
using Effects = std::vector<Effect>;

}  // namespace chivewing
