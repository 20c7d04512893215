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
class Worker {
 public:
  explicit Worker(WorkerRegistration registration)
      : registration_(std::move(registration)) {}

  const WorkerRegistration& registration() const { return registration_; }
  void set_registration(WorkerRegistration registration);
  bool registered() const { return registered_; }
  void set_registered(bool registered) { registered_ = registered; }

  // Room that no run holds. Fillers hold memory but no processors.
  Resources room() const { return registration_.capacity - used_; }
  Resources used() const { return used_; }
  void Occupy(const Resources& size) { used_ += size; }
  void Release(const Resources& size) { used_ -= size; }

  // Notes the worker's clock as read from an answer that came at `now`.
  void SetClock(TimePoint now, WorkerClock clock);
  // Whether `clock` can only be that of a later life.
  bool IsRestarted(TimePoint now, WorkerClock clock) const;
  bool has_clock() const { return clock_at_ != TimePoint{}; }
  // The deadline, on the worker's clock, of an order sent at `now` with this
  // lease. It counts as given from then on.
  std::optional<WorkerClock> GiveLease(TimePoint now,
                                       std::chrono::milliseconds lease);
  // When all leases given have certainly ended, with clocks that drift.
  TimePoint LapseTime(const DispatchOptions& options) const;
  // Counts unknown orders of an earlier dispatcher as given until `until`.
  void set_foreign_lapse(TimePoint until) { foreign_lapse_ = until; }

  // Forgets everything that belonged to a life of the worker that has ended.
  void StartNewLife();

  // A list of its runs has been read under the present fence.
  bool synced = false;
  // Its row stands in the table: a successor will look for its runs.
  bool enrolled = false;
  bool enrolling = false;
  std::uint64_t handled_end = 0;  // newest end taken into account
  std::uint64_t settled_end = 0;  // newest end whose effect is in the table
  std::uint64_t open_poll = 0;    // 0: none
  TimePoint poll_sent{};
  TimePoint next_poll{};
  TimePoint answered_at{};   // newest answer of any kind
  TimePoint silent_since{};  // first call without an answer since then
  TimePoint paused_until{};  // gets no new tasks until then
  int failures_in_row = 0;   // runs that failed, without a good one between
  std::chrono::milliseconds born{0};  // of the life known; 0: not known

  bool IsSilent() const { return silent_since != TimePoint{}; }

 private:
  WorkerRegistration registration_;
  bool registered_ = true;
  Resources used_{};
  WorkerClock clock_{0};
  TimePoint clock_at_{};
  WorkerClock given_until_{0};
  TimePoint foreign_lapse_{};
};

}  // namespace chivewing
