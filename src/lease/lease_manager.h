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
#include "store/table_clock.h"

namespace chivewing {

// Commit the transaction and pass the response to OnCommit. The effect is
// repeated with the same write id until the response is definite.
struct CommitLease {
  TableTransaction transaction;
};

// This host has acquired the lease with a new epoch.
struct LeaseAcquired {
  std::uint64_t epoch = 0;
};

// This host no longer holds the lease of `epoch`; nothing may be done under it.
struct LeaseLost {
  std::uint64_t epoch = 0;
};

using LeaseEffect = std::variant<CommitLease, LeaseAcquired, LeaseLost>;

struct LeaseSettings {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
  Duration lease = std::chrono::seconds(3);
  // When commits are slow, a longer lease is written, up to this length. 0
  // never extends it.
  Duration max_lease_duration{0};
  // Allowance for clocks that run at different rates. The holder stops this
  // much before the end of its lease, and others wait this much longer.
  Duration clock_drift_margin = std::chrono::milliseconds(200);
  Duration renew_interval = std::chrono::seconds(1);
  // Extra delay per rank before a host acquires a free or expired lease, so
  // that not all hosts try at once.
  Duration acquire_stagger = std::chrono::milliseconds(100);
  Duration initial_retry_delay = std::chrono::milliseconds(50);
  Duration max_retry_delay = std::chrono::seconds(1);
  // Renewals rewrite a row of their own, so that the lease row changes only
  // when the lease is acquired or released. The holder's transactions are then
  // conditional on the lease row alone (FenceCondition) and neither wait for
  // renewals nor delay them.
  bool separate_renewals = false;
};

// Faults that tests inject to show that each safety mechanism is needed. All
// are off in production.
struct LeaseFaultInjection {
  // The lease counts from the arrival of the response, not from the sending of
  // the commit.
  bool start_lease_at_answer = false;
  bool keep_epoch = false;     // acquiring does not raise the epoch
  bool ignore_expiry = false;  // a held lease never expires on its holder
};

// Condition and write to add to the holder's transaction: it then commits only
// if this host still holds the lease, and it renews the lease.
struct LeaseTransactionPart {
  TableCondition condition;
  TableWrite write;
};

// Acquires, renews and releases the lease row placer/ZONE, so that at most one
// host of a zone acts as its placer (or dispatcher) at a time. Input: versions
// of the row, commit responses and ticks. Output: commits to send and changes
// of the lease. Does no I/O; the caller provides the time and runs it on one
// thread.
class LeaseManager {
 public:
  using Effects = std::vector<LeaseEffect>;

  LeaseManager(TimePoint now, LeaseSettings settings,
               LeaseFaultInjection faults = {});

  // Applies a version of the lease row read from the table. Other keys and
  // versions older than the known one are ignored.
  void OnRow(TimePoint now, const TableRow& row, Effects& out);
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitResponse& response, Effects& out);
  // Position of this host among those that may acquire the lease; rank 0
  // acquires without delay.
  void set_rank(std::size_t rank) { rank_ = rank; }
  // Time since which the table has responded to this host without a gap; empty
  // while it does not respond. During an outage a live holder cannot renew, so
  // the expiry of another host's lease is counted from this time at the
  // earliest.
  void set_table_available_since(std::optional<TimePoint> since) {
    table_available_since_ = since;
  }
  // The table's clock as this host reckons it, for the rows that it writes and
  // reads.
  void set_table_clock(const TableClock& clock) { table_clock_ = clock; }
  // Acquires, renews, releases and retries when due. Call a few times a second.
  void Tick(TimePoint now, Effects& out);

  // Whether this host may act as placer. Check it right before each action;
  // valid_until() is the action's latest time.
  bool IsHeld(TimePoint now) const;
  std::uint64_t epoch() const { return epoch_; }
  TimePoint valid_until() const { return valid_until_; }
  // Of the last acquisition that this host began: by when, at the latest and on
  // this host's clock, the holder before had lost the lease.
  TimePoint predecessor_ended_by() const { return predecessor_ended_by_; }

  // Starts a transaction of the placer, sent at `now` under `write_id`, that is
  // fenced by the lease. Empty when the lease is not held or another
  // transaction with the lease row is in flight; CanBeginFencedTransaction
  // tells beforehand. The caller sends it, repeats it while it is unconfirmed,
  // and passes the definite response to OnCommit: committed, conflict or not
  // applied.
  bool CanBeginFencedTransaction(TimePoint now) const {
    return IsHeld(now) && !in_flight_;
  }
  std::optional<LeaseTransactionPart> BeginFencedTransaction(
      TimePoint now, const std::string& write_id);

  // With separate renewals: the condition that makes a transaction take effect
  // only while this host's lease has not passed to another epoch. Empty when
  // the lease is not held.
  std::optional<TableCondition> FenceCondition(TimePoint now) const;
  // Latest time of the next Tick, except for what an event changes.
  TimePoint NextTick(TimePoint now) const;

  // Gives up the lease without a write. A later Tick may acquire it again with
  // a higher epoch.
  void Relinquish(Effects& out);
  // Releases the lease, so that another host can acquire it at once. This host
  // does not acquire it again before `until`.
  void HandOver(TimePoint now, TimePoint until, Effects& out);
  // Planned stop: releases the lease, so that another host can acquire it at
  // once.
  void Stop(TimePoint now, Effects& out);
  bool IsStopped() const;

  static std::string RowKey(const ZoneId& zone);
  // Row that renewals rewrite if they are separate.
  static std::string RenewalRowKey(const ZoneId& zone);

 private:
  enum class CommitKind { kAcquire, kRenew, kRelease, kFencedTransaction };
  struct InFlightCommit : PendingCommit {
    CommitKind kind = CommitKind::kAcquire;
    LeaseRow written_row;
    TimePoint first_sent_at;
  };

  bool IsHeldByThisProcess() const;
  bool IsAcquireDue(TimePoint now) const { return now >= AcquireDueAt(); }
  bool IsReleasing(TimePoint now) const {
    return stopping_ || now < handed_over_until_;
  }
  // Time from which this host may acquire the lease; TimePoint::max() while the
  // table does not respond.
  TimePoint AcquireDueAt() const;
  TimePoint HolderEndsBy(TimePoint now) const;
  // Length of the lease that the present holder has last written.
  bool IsRenewed() const;
  Duration WrittenLease() const;
  void SendAgainOrAbandon(TimePoint now, Effects& out);
  void CheckExpiry(TimePoint now, Effects& out);
  void MarkLost(Effects& out);
  Duration CurrentLeaseDuration() const;
  LeaseRow MakeRow(TimePoint now, const HostId& host,
                   std::uint64_t epoch) const;
  void StartCommit(TimePoint now, CommitKind kind, const LeaseRow& row,
                   Effects& out);
  // A shorter lease counts as soon as it is sent: it may take effect although
  // its response is lost.
  void LimitTo(TimePoint now, const LeaseRow& row);
  std::string NewWriteId();
  void ApplyRow(TimePoint now, const TableRow& row, Effects& out);
  void ApplyRenewalRow(TimePoint now, const TableRow& row);
  // Drops the time at which a row was sent if the table's clock has started
  // again since an earlier row: the times cannot be compared.
  void DropUnsteadyTime(LeaseRow& row);
  void OnCommitted(TimePoint now, const InFlightCommit& commit,
                   std::uint64_t version, Effects& out);

  LeaseSettings settings_;
  LeaseFaultInjection faults_;
  LeaseRow row_;  // newest known; host is empty when absent or released
  std::uint64_t row_version_ = 0;
  TimePoint row_seen_at_;  // when the row or its renewal was last seen changed
  LeaseRow renewal_;       // newest known renewal, if renewals are separate
  std::uint64_t renewal_version_ = 0;
  bool held_ = false;
  bool stopping_ = false;
  TimePoint handed_over_until_{};  // the lease is for other hosts until then
  std::uint64_t epoch_ = 0;
  TimePoint valid_until_;
  TimePoint predecessor_ended_by_;
  TimePoint renewed_at_;
  std::size_t rank_ = 0;
  std::optional<TimePoint> table_available_since_ = TimePoint{};
  TableClock table_clock_;
  // The latest time of sending in a row that has been seen.
  std::optional<std::chrono::milliseconds> newest_sent_at_table_;
  Duration last_commit_duration_{0};  // that the newest commit took
  std::optional<InFlightCommit> in_flight_;
  std::uint64_t next_write_number_ = 1;
};

}  // namespace chivewing
