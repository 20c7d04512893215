#include "cluster/job_state_outbox.h"

#include <chrono>
#include <utility>

namespace chivewing {
namespace {

// How long the first change waits for others.
constexpr std::chrono::milliseconds kGatherTime{50};

}  // namespace

void JobStateOutbox::Add(TimePoint now, const JobStateChange& change) {
  if (gathered_.changes.empty()) due_ = now + kGatherTime;
  gathered_.changes.push_back(change);
}

std::optional<JobStatesPush> JobStateOutbox::TakeDue(TimePoint now) {
  if (now < due_) return std::nullopt;
  due_ = TimePoint::max();
  return std::exchange(gathered_, {});
}

}  // namespace chivewing
