#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/line_budget.h"
#include "base/time.h"
#include "dispatch/run_table.h"
#include "dispatch/tracked_job.h"
#include "dispatch/tracked_worker.h"

namespace chivewing {

// Counts and logs ends `done` that show that a task was started again, or is
// being run a second time. Decides nothing. Does no I/O apart from logging.
class RepeatedEndMonitor {
 public:
  // To be called for each end that a worker lists, before it takes effect. An
  // end that is listed again is the same one and counts once.
  void OnEnd(TimePoint now, const TrackedWorker& worker,
             const EndedRunReport& end, TrackedJob& job, const RunTable& runs);

  // The task was done, by another run.
  std::uint64_t of_done_tasks() const { return of_done_tasks_; }
  // The task was not done, and has another run.
  std::uint64_t of_restarted_tasks() const { return of_restarted_tasks_; }

 private:
  struct Other {
    std::uint64_t number = 0;
    WorkerId worker{};
  };
  void Report(TimePoint now, const TrackedWorker& worker,
              const EndedRunReport& end, const TrackedTask& task,
              const Other& other, const std::string& what);

  std::uint64_t of_done_tasks_ = 0;
  std::uint64_t of_restarted_tasks_ = 0;
  LineBudget lines_{10};
};

}  // namespace chivewing
