#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/job_progress.h"
#include "dispatch/job_record.h"
#include "peer/messages.h"
#include "store/table.h"

namespace chivewing {

// State of each job, derived from the rows that this host has seen, for
// responses to callers at any host. No I/O.
class JobStatusIndex {
 public:
  // Applies a job, cancel or progress row; ignores other rows. Returns the job
  // if the row changes what callers are told of it.
  std::optional<JobId> OnRow(const TableRow& row);
  // Applies what another host has read, possibly ahead of the rows. States only
  // move forward, so rows from before it have no effect.
  void OnChange(const JobStatusChange& change);

  // All that is known of a job, for OnChange of another host.
  JobStatusChange StatusOf(const JobId& job) const;
  std::vector<JobStatusChange> AllStatuses() const;
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
  // Returns whether the state has changed.
  bool Advance(const JobId& job, JobPhase state);

  std::map<JobId, Entry> entries_;
};

}  // namespace chivewing
