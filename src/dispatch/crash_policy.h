#pragma once

#include <cstddef>

#include "base/time.h"
#include "dispatch/run_table.h"
#include "dispatch/tracked_job.h"
#include "dispatch/tracked_worker.h"

namespace chivewing {

// What is concluded from the crash of a worker about the tasks that ran on it.
//
// A task that crashes its workers does so soon after its start, so only the
// runs that were young are counted as suspects. A task that has been a suspect
// twice is started alone on its worker, until it has proved harmless; one that
// goes on to crash workers while alone is given up, and its job fails. Starts
// of a suspected task are noted in the table before they are made, so that a
// later dispatcher counts the crash of a worker that nobody has seen.

// True if the run was young when the worker was last heard of. `worker` is as
// it was before its restart.
bool IsSuspect(const Run& run, const TrackedWorker& worker);

// True if the task, of this step, is to be started alone on its worker.
// Members of a gang are not: they start together.
bool NeedsWorkerAlone(const TrackedTask& task, const StepSpec& step);

// True if the task, of this step, is given up rather than started again.
bool IsGivenUp(const TrackedTask& task, const StepSpec& step);

// True if something is held against the task.
bool IsSuspected(const TrackedTask& task);

// True if a start of the task, of this step, has to be noted in the table
// before it is made.
bool NeedsNote(const TrackedTask& task, const StepSpec& step);

// True if a copy of the task may be started beside its run on a silent worker.
// A crash that is suspected there has to be in the table before.
bool MayCopy(const TrackedJob& job, const TrackedTask& task,
             const StepSpec& step);

// True while the run may still turn out to crash its worker.
bool IsOnProbation(TimePoint now, const Run& run);

// How many workers of `workers` may be kept for tasks that run alone.
std::size_t MaxIsolatedWorkers(std::size_t workers);

}  // namespace chivewing
