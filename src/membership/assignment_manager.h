#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "membership/host_directory.h"
#include "store/pending_commit.h"
#include "store/table.h"

namespace chivewing {

// Commit the transaction and pass the response to OnCommit. The effect is
// repeated with the same write id until the response is definite.
struct CommitAssignments {
  TableTransaction transaction;
};

// Only this host may use the instance from now on. `slots_unconfirmed` is true
// when requests of the previous holder may still run on it: all slots then
// count as busy until the instance reports, or the longest request time has
// passed.
struct AssignmentAcquired {
  InstanceId instance;
  std::uint64_t epoch = 0;
  bool slots_unconfirmed = false;
};

// The instance is assigned to another process: send it nothing more.
struct AssignmentLost {
  InstanceId instance;
};

// Send the instance no new requests; call OnDrained when nothing runs there and
// no slot is unconfirmed.
struct DrainInstance {
  InstanceId instance;
};

using AssignmentEffect = std::variant<CommitAssignments, AssignmentAcquired,
                                      AssignmentLost, DrainInstance>;

struct AssignmentManagerSettings {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
  std::size_t max_batch_rows = 32;  // per transaction
  // How long this host must hold surplus instances before it releases any.
  Duration rebalance_delay = std::chrono::seconds(2);
  // How long an instance may stay unassigned before hosts beyond their quota
  // acquire it.
  Duration takeover_delay = std::chrono::seconds(5);
  // How long a host keeps an instance acquired beyond its quota before it may
  // release it again.
  Duration takeover_hold = std::chrono::seconds(60);
  // Number of requests running on an instance; the least busy are released
  // first.
  std::function<std::size_t(const InstanceId&)> running_requests;
  Duration initial_retry_delay = std::chrono::milliseconds(50);
  Duration max_retry_delay = std::chrono::seconds(2);
};

// Faults that tests inject to show that each safety mechanism is needed. All
// are off in production.
struct AssignmentFaultInjection {
  // Acquires instances from hosts that are merely not connected.
  bool take_from_unreachable = false;
  // Releases an instance while requests still run on it.
  bool release_before_drained = false;
  // Acquires from hosts that the list reports as gone, regardless of its lag.
  bool ignore_list_lag = false;
};

// Counts for the state dump.
struct AssignmentCounters {
  std::size_t held = 0;
  std::size_t draining = 0;
  std::size_t free = 0;  // instances of the zone without a holder
  std::uint64_t gained = 0;
  std::uint64_t lost = 0;
  std::uint64_t released = 0;
  std::uint64_t conflicts = 0;
};

// Assigns each instance of a zone to one entry host and spreads them evenly
// over the live hosts. An assignment moves only on proof that its holder no
// longer uses the instance: the holder released it, its host is confirmed gone,
// or this process has bound the holder's address. Input: the zone's instances,
// assignment rows, the host directory, commit responses and ticks. Output:
// commits to send and which instances this host may use. Does no I/O; the
// caller provides the time and runs it on one thread.
class AssignmentManager {
 public:
  using Effects = std::vector<AssignmentEffect>;

  explicit AssignmentManager(AssignmentManagerSettings settings,
                             AssignmentFaultInjection faults = {});

  // Instances of the zone that can serve requests, from the task rows.
  void AddInstance(TimePoint now, const InstanceId& id, const EntryName& entry);
  void RemoveInstance(TimePoint now, const InstanceId& id, Effects& out);

  // Applies a row share/ZONE/INSTANCE, also an absent one (version 0). Versions
  // older than the known one are ignored. Nothing is acquired before
  // SetInitialRowsRead: all assignment rows must have been read once.
  void OnAssignmentRow(TimePoint now, const TableRow& row, Effects& out);
  void SetInitialRowsRead() { initial_rows_read_ = true; }

  HostDirectory& directory() { return directory_; }
  const HostDirectory& directory() const { return directory_; }

  // A draining instance is idle: it runs no request of this host and has no
  // unconfirmed slot.
  void OnDrained(TimePoint now, const InstanceId& id, Effects& out);
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitResponse& response, Effects& out);

  // Acquires, drains, releases and retries when due. Call a few times a second.
  void Tick(TimePoint now, Effects& out);

  // Planned stop: drains and releases all instances.
  void Stop(TimePoint now, Effects& out);
  // Whether Stop was called and every instance is released.
  bool IsStopped() const;

  // Epoch of this host's assignment, if it may send the instance new requests.
  std::optional<std::uint64_t> ActiveEpoch(const InstanceId& id) const;
  AssignmentCounters counters() const;

  static std::string RowKey(const ZoneId& zone, const InstanceId& id);

 private:
  enum class UsageState {
    kUnused,    // not assigned to this process
    kActive,    // held
    kDraining,  // held, gets no new requests
    kDrained,   // held, idle, to be released
  };
  struct Instance {
    EntryName entry;
    bool has_task = false;  // a task row of the zone names it
    std::uint64_t version = 0;
    HostId holder;  // empty when unassigned
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    TimePoint row_seen_at;  // when this row version was first seen
    UsageState usage = UsageState::kUnused;
    bool in_flight = false;
    bool slots_unconfirmed = false;  // passed on when an acquisition commits
    // Set when acquired beyond the quota: not released before this time.
    std::optional<TimePoint> hold_until;
  };
  struct InFlightCommit : PendingCommit {
    std::vector<InstanceId> instances;
    bool acquire = false;
  };
  // Current and intended distribution of one entry's instances.
  struct EntryPlan {
    std::vector<InstanceId> acquirable;  // by any live host; in id order
    // Used by this host and not held back by hold_until.
    std::vector<InstanceId> releasable;
    std::size_t own_count = 0;  // used or being acquired by this host
    std::size_t quota = 0;      // number this host should hold
    // Number of acquirable instances left to hosts ahead of this one.
    std::size_t wanted_by_earlier_hosts = 0;
    std::size_t wanted_by_others = 0;
  };

  bool IsHeldByThisProcess(const Instance& instance) const;
  bool IsHeldByEarlierProcess(const Instance& instance) const;
  bool IsAcquirable(const Instance& instance) const;
  std::map<EntryName, EntryPlan> MakePlans(TimePoint now) const;
  void SetQuotas(const EntryName& entry,
                 const std::map<HostId, std::size_t>& held,
                 EntryPlan& plan) const;
  void SelectAcquisitions(TimePoint now, const EntryPlan& plan,
                          std::vector<InstanceId>& acquisitions);
  void DrainSurplus(TimePoint now, const EntryName& entry,
                    const EntryPlan& plan, Effects& out);
  void SelectFromEarlierProcess(std::vector<InstanceId>& acquisitions);
  void SendAcquisitions(TimePoint now, const std::vector<InstanceId>& ids,
                        Effects& out);
  void SendReleases(TimePoint now, Effects& out);
  void SendBatches(const std::vector<InstanceId>& ids, bool acquire,
                   Effects& out);
  TableWrite MakeWrite(const InstanceId& id, const Instance& instance,
                       bool acquire) const;
  void RetryCommits(TimePoint now, Effects& out);
  void ApplyRow(TimePoint now, const InstanceId& id, const TableRow& row,
                Effects& out);
  void OnAcquired(TimePoint now, const InstanceId& id, std::uint64_t version,
                  Effects& out);
  void OnReleased(TimePoint now, const InstanceId& id, std::uint64_t version);
  void MarkAcquired(const InstanceId& id, Instance& instance, Effects& out);
  void StartDrain(const InstanceId& id, Instance& instance, Effects& out);
  void EraseUnneeded();
  std::string NewWriteId();

  AssignmentManagerSettings settings_;
  AssignmentFaultInjection faults_;
  HostDirectory directory_;
  std::map<InstanceId, Instance> instances_;
  std::map<std::string, InFlightCommit> in_flight_;  // by write id
  std::map<EntryName, TimePoint> surplus_since_;
  std::uint64_t next_write_number_ = 1;
  bool initial_rows_read_ = false;
  bool stopping_ = false;
  AssignmentCounters counters_;
};

}  // namespace chivewing
