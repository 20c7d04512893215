#include "cluster/shared_time_of_day.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace chivewing {
namespace {

// Of so many jobs the newest count, and with fewer than so many none does.
constexpr std::size_t kMaxJobs = 63;
constexpr std::size_t kMinJobs = 7;

}  // namespace

void SharedTimeOfDay::OnJob(const JobRecord& record) {
  if (!record.accepted_at_table) return;
  offsets_.push_back(record.accepted_at - *record.accepted_at_table);
  if (offsets_.size() > kMaxJobs) offsets_.pop_front();
  std::vector<std::chrono::milliseconds> sorted(offsets_.begin(),
                                                offsets_.end());
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  median_ = *middle;
}

std::chrono::milliseconds SharedTimeOfDay::At(
    std::optional<std::chrono::milliseconds> table_clock,
    std::chrono::milliseconds own) const {
  if (!table_clock || offsets_.size() < kMinJobs) return own;
  return *table_clock + median_;
}

}  // namespace chivewing
