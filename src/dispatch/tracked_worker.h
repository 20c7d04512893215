#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "base/time.h"
#include "dispatch/dispatch_options.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// A processed run end whose effect may not be in the table yet.
struct UnpersistedEnd {
  std::uint64_t number = 0;
  // Newest mark of a dirty job once the end was processed.
  std::int64_t change = 0;
  JobId job{};
};

// The dispatcher's view of one worker: its resources, its clock, the lease that
// it may hold, and how many of the run ends that it reports have been
// processed. Does no I/O.
class TrackedWorker {
 public:
  explicit TrackedWorker(WorkerRegistration registration)
      : has_drained(registration.draining),
        registration_(std::move(registration)) {}

  const WorkerRegistration& registration() const { return registration_; }
  void set_registration(WorkerRegistration registration);
  // Notes when a draining worker leaves at the earliest, as reported at `now`.
  void UpdateLeaveTime(TimePoint now);
  // Nullopt unless the worker is draining and has said when it leaves.
  const std::optional<TimePoint>& leaves_at() const { return leaves_at_; }
  bool registered() const { return registered_; }
  void set_registered(bool registered) { registered_ = registered; }

  // Capacity that no run holds. Best-effort runs hold memory but no processors.
  Resources free_resources() const { return registration_.capacity - used_; }
  Resources used() const { return used_; }
  void Occupy(const Resources& size) { used_ += size; }
  void Release(const Resources& size) { used_ -= size; }

  // Records the worker's clock from a response that arrived at `now`.
  void SetClock(TimePoint now, WorkerTimestamp clock);
  // True if `clock` is so far behind that the worker must have restarted.
  bool IsRestarted(TimePoint now, WorkerTimestamp clock) const;
  bool has_clock() const { return clock_at_ != TimePoint{}; }
  // When the newest clock reading arrived; TimePoint{} if there is none.
  TimePoint clock_at() const { return clock_at_; }
  // The least that the worker's clock reads at `now` if it has not restarted.
  WorkerTimestamp LeastClock(TimePoint now) const;
  // Grants a lease with a command that is sent at `now` and returns its expiry
  // on the worker's clock; nullopt while that clock is unknown.
  std::optional<WorkerTimestamp> GrantLease(TimePoint now,
                                            std::chrono::milliseconds lease);
  // When all granted leases have certainly expired, allowing for clock drift.
  TimePoint LeaseExpiry(const DispatchOptions& options) const;
  // Assumes that commands unknown here, of an earlier dispatcher or sent to an
  // earlier incarnation, grant a lease until `until`.
  void set_foreign_lease_expiry(TimePoint until) {
    foreign_lease_expiry_ = until;
  }

  // Discards the state of the ended incarnation of the worker.
  void ResetForNewIncarnation();

  // True once this dispatcher has read the list of its runs.
  bool synced = false;
  // False while a run that its newest lists lack may have ended; see
  // PollResponse::ListsAllRuns.
  bool lists_all_runs = true;
  // True once its row is in the table, so that a successor looks for its runs;
  // `enrolling` is true while the row is being written.
  bool enrolled = false;
  bool enrolling = false;
  std::uint64_t processed_end = 0;  // newest end applied to the state
  std::uint64_t persisted_end = 0;  // newest end written to the table
  // Highest number of ends that a poll of this incarnation has carried as read,
  // for the log.
  std::uint64_t told_end = 0;
  // Ends between those two, in their order.
  std::deque<UnpersistedEnd> unpersisted_ends{};
  // Since when the worker has reported ends of jobs that are not known here;
  // TimePoint::max() if it reports none.
  TimePoint unknown_ends_since = TimePoint::max();
  std::uint64_t pending_poll = 0;  // 0: none
  TimePoint poll_sent{};
  std::string polled_address{};  // by the newest poll
  // Where the present incarnation has answered under its id, to this dispatcher
  // or to an earlier one; none if nothing but a registration tells of it.
  std::optional<std::string> answered_address{};
  TimePoint next_poll{};
  TimePoint last_response_at{};    // to a poll or a command
  TimePoint unresponsive_since{};  // first failed poll since the last good one
  // This incarnation has been draining: its end is no crash.
  bool has_drained = false;
  TimePoint backoff_until{};  // gets no new tasks until then
  int failures_in_row = 0;    // failed runs since the last successful one
  // When the worker needs attention next, as WorkerManager has indexed it.
  TimePoint attention_at = TimePoint::max();
  std::chrono::milliseconds incarnation_start{0};  // 0: not known

  bool IsUnresponsive() const { return unresponsive_since != TimePoint{}; }
  // False while nothing but a registration tells of the worker: it may be of
  // another writer, and proves nothing about other workers.
  bool HasAnswered() const { return answered_address.has_value(); }
  // False if the registration is of another incarnation than the newest lists:
  // the worker may be of another size and kind than the registration says.
  bool IsRegistrationCurrent() const;
  // True if ends have been processed whose effects may not be in the table.
  bool HasUnpersistedEnds() const { return persisted_end != processed_end; }
  // True if the worker may get tasks once it has a row in the table. A
  // registration alone gets none: a successor waits for each worker with a row.
  bool NeedsRow() const {
    return registered_ && HasAnswered() && !enrolled && !enrolling;
  }

 private:
  WorkerRegistration registration_;
  bool registered_ = true;
  std::optional<TimePoint> leaves_at_;
  Resources used_{};
  WorkerTimestamp clock_{0};
  TimePoint clock_at_{};
  WorkerTimestamp granted_until_{0};
  TimePoint foreign_lease_expiry_{};
};

}  // namespace chivewing
