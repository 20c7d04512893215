#include "dispatch/tracked_worker.h"

#include <algorithm>
#include <utility>

namespace chivewing {
namespace {

// A response may be processed this much later than it was written before its
// clock reading counts as a restart of the worker.
constexpr std::chrono::milliseconds kRestartSlack{1500};

}  // namespace

void TrackedWorker::set_registration(WorkerRegistration registration) {
  registration_ = std::move(registration);
  registered_ = true;
  if (registration_.draining) has_drained = true;
}

// Each report gives the time that is left at least, and may be read late.
void TrackedWorker::UpdateLeaveTime(TimePoint now) {
  if (!registration_.draining || !registration_.leaves_after) {
    leaves_at_.reset();
    return;
  }
  const TimePoint reported = now + *registration_.leaves_after;
  leaves_at_ = std::min(leaves_at_.value_or(reported), reported);
}

bool TrackedWorker::IsRegistrationCurrent() const {
  const std::chrono::milliseconds registered = registration_.incarnation_start;
  const bool known = registered.count() > 0 && incarnation_start.count() > 0;
  return !known || registered == incarnation_start;
}

void TrackedWorker::SetClock(TimePoint now, WorkerTimestamp clock) {
  // Responses may overtake each other: the clock reading that is furthest ahead
  // had the least delay.
  if (has_clock()) {
    const auto passed =
        std::chrono::duration_cast<WorkerTimestamp>(now - clock_at_);
    if (clock < clock_ + passed * 49 / 50) return;
  }
  clock_ = clock;
  clock_at_ = now;
}

WorkerTimestamp TrackedWorker::LeastClock(TimePoint now) const {
  const auto passed =
      std::chrono::duration_cast<WorkerTimestamp>(now - clock_at_);
  return clock_ + passed * 49 / 50;
}

bool TrackedWorker::IsRestarted(TimePoint now, WorkerTimestamp clock) const {
  return has_clock() && clock + kRestartSlack < LeastClock(now);
}

std::optional<WorkerTimestamp> TrackedWorker::GrantLease(
    TimePoint now, std::chrono::milliseconds lease) {
  if (!has_clock()) return std::nullopt;
  const auto passed =
      std::chrono::duration_cast<WorkerTimestamp>(now - clock_at_);
  const WorkerTimestamp deadline = clock_ + passed + lease;
  granted_until_ = std::max(granted_until_, deadline);
  return deadline;
}

TimePoint TrackedWorker::LeaseExpiry(const DispatchOptions& options) const {
  TimePoint expiry = foreign_lease_expiry_;
  if (has_clock() && granted_until_.count() > 0) {
    const std::chrono::duration<double, std::milli> left =
        granted_until_ - clock_;
    const auto slow = left / (1.0 - options.clock_drift);
    expiry = std::max(expiry, clock_at_ + std::chrono::ceil<Duration>(slow));
  }
  return expiry + options.lease_expiry_margin;
}

void TrackedWorker::ResetForNewIncarnation() {
  synced = false;
  lists_all_runs = true;
  processed_end = 0;
  persisted_end = 0;
  told_end = 0;
  unpersisted_ends.clear();
  unknown_ends_since = TimePoint::max();
  incarnation_start = std::chrono::milliseconds(0);
  clock_at_ = TimePoint{};
  clock_ = WorkerTimestamp(0);
  granted_until_ = WorkerTimestamp(0);
  foreign_lease_expiry_ = TimePoint{};
  has_drained = false;
}

}  // namespace chivewing
