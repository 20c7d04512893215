#include "dispatch/dirty_jobs.h"

namespace chivewing {

void DirtyJobs::Mark(const JobId& job) {
  if (changes_.contains(job)) return;
  changes_[job] = ++last_change_;
  by_change_[last_change_] = job;
}

void DirtyJobs::Restore(const std::vector<JobId>& jobs) {
  for (auto job = jobs.rbegin(); job != jobs.rend(); ++job) {
    Remove(*job);
    changes_[*job] = --first_change_;
    by_change_[first_change_] = *job;
  }
}

void DirtyJobs::Remove(const JobId& job) {
  const auto found = changes_.find(job);
  if (found == changes_.end()) return;
  by_change_.erase(found->second);
  changes_.erase(found);
}

std::optional<JobId> DirtyJobs::TakeOldest() {
  if (by_change_.empty()) return std::nullopt;
  const JobId job = by_change_.begin()->second;
  Remove(job);
  return job;
}

bool DirtyJobs::HasTaken(std::int64_t change) const {
  return by_change_.empty() || by_change_.begin()->first > change;
}

}  // namespace chivewing
