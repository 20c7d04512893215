#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dispatch/worker_messages.h"

namespace chivewing {

// The jobs whose progress rows are to be written, in the order in which they
// became dirty. Each mark has a number that rises with that order. Does no I/O.
class DirtyJobs {
 public:
  bool empty() const { return by_change_.empty(); }
  std::size_t size() const { return by_change_.size(); }

  // A job that is dirty already keeps its place.
  void Mark(const JobId& job);
  // Puts back in front, in their order, jobs that were taken but not written.
  void Restore(const std::vector<JobId>& jobs);
  void Remove(const JobId& job);
  std::optional<JobId> TakeOldest();

  // Number of the newest mark.
  std::int64_t last_change() const { return last_change_; }
  // True if each job that was dirty when `change` was the newest mark has been
  // taken since.
  bool HasTaken(std::int64_t change) const;

 private:
  std::map<std::int64_t, JobId> by_change_;
  std::map<JobId, std::int64_t> changes_;
  std::int64_t last_change_ = 0;
  // Restored jobs are numbered downwards, below each mark.
  std::int64_t first_change_ = 0;
};

}  // namespace chivewing
