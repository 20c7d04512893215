#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "dispatch/dispatch_options.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// What the dispatcher knows of one worker: its room, its clock, the lease that
// it may hold, and how far its list of ends has been read.
class TrackedWorker {
 public:
  explicit TrackedWorker(WorkerRegistration registration)
      : registration_(std::move(registration)) {}

  const WorkerRegistration& registration() const { return registration_; }
  void set_registration(WorkerRegistration registration);
  bool registered() const { return registered_; }
  void set_registered(bool registered) { registered_ = registered; }

  // Room that no run holds. Fillers hold memory but no processors.
  Resources free_resources() const { return registration_.capacity - used_; }
  Resources used() const { return used_; }
  void Occupy(const Resources& size) { used_ += size; }
  void Release(const Resources& size) { used_ -= size; }

  // Notes the worker's clock as read from an answer that came at `now`.
  void SetClock(TimePoint now, WorkerTimestamp clock);
  // Whether `clock` can only be that of a later life.
  bool IsRestarted(TimePoint now, WorkerTimestamp clock) const;
  bool has_clock() const { return clock_at_ != TimePoint{}; }
  // The deadline, on the worker's clock, of an order sent at `now` with this
  // lease. It counts as given from then on.
  std::optional<WorkerTimestamp> GrantLease(TimePoint now,
                                            std::chrono::milliseconds lease);
  // When all leases given have certainly ended, with clocks that drift.
  TimePoint LeaseExpiry(const DispatchOptions& options) const;
  // Counts unknown orders of an earlier dispatcher as given until `until`.
  void set_foreign_lease_expiry(TimePoint until) {
    foreign_lease_expiry_ = until;
  }

  // Forgets everything that belonged to a life of the worker that has ended.
  void ResetForNewIncarnation();

  // A list of its runs has been read under the present fence.
  bool synced = false;
  // Its row stands in the table: a successor will look for its runs.
  bool enrolled = false;
  bool enrolling = false;
  std::uint64_t processed_end = 0;  // newest end taken into account
  std::uint64_t persisted_end = 0;  // newest end whose effect is in the table
  std::uint64_t pending_poll = 0;   // 0: none
  TimePoint poll_sent{};
  TimePoint next_poll{};
  TimePoint last_response_at{};    // newest answer of any kind
  TimePoint unresponsive_since{};  // first call without an answer since then
  TimePoint backoff_until{};       // gets no new tasks until then
  int failures_in_row = 0;  // runs that failed, without a good one between
  std::chrono::milliseconds incarnation_start{
      0};  // of the life known; 0: not known

  bool IsUnresponsive() const { return unresponsive_since != TimePoint{}; }

 private:
  WorkerRegistration registration_;
  bool registered_ = true;
  Resources used_{};
  WorkerTimestamp clock_{0};
  TimePoint clock_at_{};
  WorkerTimestamp granted_until_{0};
  TimePoint foreign_lease_expiry_{};
};

}  // namespace chivewing
