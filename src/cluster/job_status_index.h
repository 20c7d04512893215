#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "dispatch/job_progress.h"
#include "dispatch/job_record.h"
#include "store/table.h"

namespace chivewing {

// State of each job, derived from the rows that this host has seen, for
// responses to callers at any host. No I/O.
class JobStatusIndex {
 public:
  // Applies a job, cancel or progress row; ignores other rows. Returns the
  // job's new state if the row is a progress row that changes it.
  std::optional<JobPhase> OnRow(const TableRow& row);
  // Applies a state that has been committed, ahead of its row. States only
  // move forward, so the rows before it have no effect. Returns whether the
  // state has changed.
  bool OnCommittedState(const JobId& job, JobPhase state);

  // The state of a job, or none if its job row is not known.
  std::optional<JobPhase> PhaseOf(const JobId& job) const;
  // Number of jobs of a queue of which no task has started.
  std::size_t CountWaiting(const std::string& queue) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    bool accepted = false;  // the job's own row is known
    bool cancelled = false;
    JobPhase phase = JobPhase::kQueued;
    std::string queue{};
  };
  bool IsWaiting(const Entry& entry) const;

  std::map<JobId, Entry> entries_;
};

}  // namespace chivewing
