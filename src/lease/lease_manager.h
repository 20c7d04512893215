#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "lease/lease_row.h"
#include "store/pending_commit.h"
#include "store/table.h"

namespace chivewing {

// Commit this and hand the answer to OnCommit. Sent again, with the same write
// id, while its answer is in doubt.
struct CommitLease {
  TableTransaction transaction;
};

// This host holds the lease with a new epoch.
struct LeaseAcquired {
  std::uint64_t epoch = 0;
};

// This host no longer holds the lease of that epoch: cause no more effects.
struct LeaseLost {
  std::uint64_t epoch = 0;
};

using LeaseEffect = std::variant<CommitLease, LeaseAcquired, LeaseLost>;

struct LeaseSettings {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
  Duration lease = std::chrono::seconds(3);
  // With a slow table the lease is written longer, up to this; 0: never.
  Duration max_lease_duration{0};
  // Allowance for clocks that run at unlike speeds; each side keeps it.
  Duration clock_drift_margin = std::chrono::milliseconds(200);
  Duration renew_interval = std::chrono::seconds(1);
  // Delay of a taking by each rank of the host, against crowds.
  Duration acquire_stagger = std::chrono::milliseconds(100);
  Duration initial_retry_delay = std::chrono::milliseconds(50);
  Duration max_retry_delay = std::chrono::seconds(1);
};

// Mechanisms that tests turn off to show what they prevent.
struct LeaseFaultInjection {
  bool start_lease_at_answer =
      false;                   // the lease runs from the answer's arrival
  bool keep_epoch = false;     // a taking does not raise the epoch
  bool ignore_expiry = false;  // IsHeld does not look at the time
};

// Part of a placer's transaction which makes it take effect only if the lease
// is still this host's, and which renews the lease.
struct LeaseTransactionPart {
  TableCondition condition;
  TableWrite write;
};

// Holds, or waits for, the lease row placer/ZONE of the zone's placer.
class LeaseManager {
 public:
  using Effects = std::vector<LeaseEffect>;

  LeaseManager(TimePoint now, LeaseSettings settings,
               LeaseFaultInjection faults = {});

  // The lease row as read from the table; older ones than known are ignored.
  void OnRow(TimePoint now, const TableRow& row, Effects& out);
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitResponse& response, Effects& out);
  // Position of this host among those that may take the lease; 0 goes first.
  void set_rank(std::size_t rank) { rank_ = rank; }
  // Since when the table has answered this host without a gap; nothing while it
  // does not. Before, the holder may have been alive and unable to renew.
  void set_table_available_since(std::optional<TimePoint> since) {
    table_available_since_ = since;
  }
  // Renews and takes; to be called a few times a second.
  void Tick(TimePoint now, Effects& out);

  // Whether this host may act as placer. To be checked right before each
  // effect; the effect's not-after time is valid_until().
  bool IsHeld(TimePoint now) const;
  std::uint64_t epoch() const { return epoch_; }
  TimePoint valid_until() const { return valid_until_; }

  // Starts a transaction of the placer that is sent at `now` under `write_id`.
  // Nothing when the lease is not held or another transaction with the lease
  // row is under way. Its sender resends it while in doubt and gives the
  // definite answer to OnCommit: committed, conflict, or certainly not taken.
  // CanBeginBatch tells beforehand.
  bool CanBeginFencedTransaction(TimePoint now) const {
    return IsHeld(now) && !in_flight_;
  }
  std::optional<LeaseTransactionPart> BeginFencedTransaction(
      TimePoint now, const std::string& write_id);

  // Holds the lease no longer; it is taken again with a higher epoch.
  void Relinquish(Effects& out);
  // Planned stop: gives the lease back, so that another host takes it at once.
  void Stop(TimePoint now, Effects& out);
  bool IsStopped() const;

  static std::string RowKey(const ZoneId& zone);

 private:
  enum class CommitKind { kAcquire, kRenew, kRelease, kFencedTransaction };
  struct InFlightCommit : PendingCommit {
    CommitKind kind = CommitKind::kAcquire;
    LeaseRow written_row;
    TimePoint first_sent_at;  // first
  };

  bool IsHeldByThisProcess() const;
  bool IsAcquireDue(TimePoint now) const;
  void CheckExpiry(TimePoint now, Effects& out);
  void MarkLost(Effects& out);
  Duration CurrentLeaseDuration() const;
  LeaseRow MakeRow(const HostId& host, std::uint64_t epoch) const;
  void StartCommit(TimePoint now, CommitKind kind, const LeaseRow& row,
                   Effects& out);
  std::string NewWriteId();
  void ApplyRow(TimePoint now, const TableRow& row, Effects& out);
  void OnCommitted(TimePoint now, const InFlightCommit& commit,
                   std::uint64_t version, Effects& out);

  LeaseSettings settings_;
  LeaseFaultInjection faults_;
  LeaseRow row_;  // newest known; holder empty when absent or released
  std::uint64_t row_version_ = 0;
  TimePoint row_seen_at_;  // when this version was first seen
  bool held_ = false;
  bool stopping_ = false;
  std::uint64_t epoch_ = 0;
  TimePoint valid_until_;
  TimePoint renewed_at_;
  std::size_t rank_ = 0;
  std::optional<TimePoint> table_available_since_ = TimePoint{};
  Duration last_commit_duration_{0};  // that the newest commit took
  std::optional<InFlightCommit> in_flight_;
  std::uint64_t next_write_number_ = 1;
};

}  // namespace chivewing
