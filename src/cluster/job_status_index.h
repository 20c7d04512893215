#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "dispatch/job_progress.h"
#include "dispatch/job_record.h"
#include "store/table.h"

namespace chivewing {

// What any host can tell callers about jobs, from the rows that it has seen.
class JobStatusIndex {
 public:
  // Takes a row of a job, a cancel or a progress; others are ignored.
  void OnRow(const TableRow& row);

  // The state of a job, or none when no row of it is known.
  std::optional<JobPhase> PhaseOf(const JobId& job) const;
  // Jobs of a queue of which no task has started.
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
