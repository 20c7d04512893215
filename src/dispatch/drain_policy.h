#pragma once

#include <chrono>
#include <optional>

#include "base/time.h"
#include "dispatch/job_description.h"
#include "dispatch/run_table.h"

namespace chivewing {

// When the runs of a draining worker are stopped. Answers the load of many
// workers that leave within seconds of their notice: a run that the worker
// takes with it is known to be over only when the worker's lease has expired,
// whereas a run that was stopped in time continues elsewhere at once.

// The expected time until the run has ended, from its progress as last listed
// by its worker and the estimate of its step. Nullopt for a run that does not
// end by itself.
std::optional<std::chrono::milliseconds> ExpectedTimeLeft(TimePoint now,
                                                          const StepSpec& spec,
                                                          const Run& run);

// When to stop the run of a worker that leaves at `leaves_at` or later:
// TimePoint::max() if it is expected to end before; as late as its end can
// still be reported if it keeps its progress or serves until then; `now` if it
// would lose its work anyway.
TimePoint DrainStopTime(TimePoint now, TimePoint leaves_at,
                        const StepSpec& spec, const Run& run);

}  // namespace chivewing
