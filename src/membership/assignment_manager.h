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

// Commit this and hand the answer to OnCommit. Sent again, with the same write
// id, while its answer is in doubt.
struct CommitAssignments {
  TableTransaction transaction;
};

// This host alone may use the instance from now on. With `slots_in_doubt`
// requests of the earlier holder may still run on it: all slots count as busy
// until the instance reports, or the longest request time has passed.
struct AssignmentAcquired {
  InstanceId instance;
  std::uint64_t epoch = 0;
  bool slots_unconfirmed = false;
};

// Another process holds the share: send the instance nothing more.
struct AssignmentLost {
  InstanceId instance;
};

// Send the instance nothing new; call OnDrained when nothing runs there, slots
// in doubt included.
struct DrainInstance {
  InstanceId instance;
};

using AssignmentEffect = std::variant<CommitAssignments, AssignmentAcquired,
                                      AssignmentLost, DrainInstance>;

struct AssignmentManagerSettings {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
  std::size_t max_batch_rows = 32;  // rows a transaction
  // How long this host must hold too many before it gives any away.
  Duration rebalance_delay = std::chrono::seconds(2);
  // How long a share may lie free before others than its host by plan take it.
  Duration takeover_delay = std::chrono::seconds(5);
  // How long a host keeps to itself shares taken over its plan.
  Duration takeover_hold = std::chrono::seconds(60);
  // Number of requests that run on an instance, to give idle ones away first.
  std::function<std::size_t(const InstanceId&)> running_requests;
  Duration initial_retry_delay = std::chrono::milliseconds(50);
  Duration max_retry_delay = std::chrono::seconds(2);
};

// Mechanisms that tests turn off to show what they prevent.
struct AssignmentFaultInjection {
  bool take_from_unreachable =
      false;  // takes shares of hosts that do not answer
  bool release_before_drained = false;  // releases while requests still run
  bool ignore_list_lag = false;         // takes on the list's word, however old
};

// Counts for the state dump.
struct AssignmentCounters {
  std::size_t held = 0;
  std::size_t draining = 0;
  std::size_t free = 0;  // instances of the zone that nobody holds
  std::uint64_t gained = 0;
  std::uint64_t lost = 0;
  std::uint64_t released = 0;
  std::uint64_t conflicts = 0;
};

// Decides by which entry host of a zone each instance is used. A share moves
// only on proof that its holder no longer uses it: the holder released it, its
// host is gone for certain, or this process has bound the holder's address.
class AssignmentManager {
 public:
  using Effects = std::vector<AssignmentEffect>;

  explicit AssignmentManager(AssignmentManagerSettings settings,
                             AssignmentFaultInjection faults = {});

  // The zone's instances that may serve, from the task rows.
  void AddInstance(TimePoint now, const InstanceId& id, const EntryName& entry);
  void RemoveInstance(TimePoint now, const InstanceId& id, Effects& out);

  // A row share/ZONE/INSTANCE, also when absent (version 0). Older rows than
  // known are ignored. Nothing is taken before SetInitialRowsRead: the share
  // rows must have been read once.
  void OnAssignmentRow(TimePoint now, const TableRow& row, Effects& out);
  void SetInitialRowsRead() { rows_known_ = true; }

  HostDirectory& directory() { return directory_; }
  const HostDirectory& directory() const { return directory_; }

  // Nothing runs on a draining instance any more: no request of this host, and
  // no slot is in doubt.
  void OnDrained(TimePoint now, const InstanceId& id, Effects& out);
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitResponse& answer, Effects& out);

  // Takes and gives away; to be called a few times a second.
  void Tick(TimePoint now, Effects& out);

  // Planned stop: drains and releases everything.
  void Stop(TimePoint now, Effects& out);
  // Whether all shares are given back.
  bool IsStopped() const;

  // Epoch of the held share, if this host may send the instance new work.
  std::optional<std::uint64_t> ActiveEpoch(const InstanceId& id) const;
  AssignmentCounters counters() const;

  // The row key of an instance's share.
  static std::string RowKey(const ZoneId& zone, const InstanceId& id);

 private:
  enum class Use {
    kNone,      // not used by this host
    kUsed,      // held
    kDraining,  // held, no new work
    kDrained,   // held, nothing runs: to be released
  };
  struct Instance {
    EntryName entry;
    bool present = false;  // in the zone's task rows
    std::uint64_t version = 0;
    HostId holder;  // empty: free
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    TimePoint seen_at;  // when this version of the row was first seen
    Use use = Use::kNone;
    bool in_flight = false;
    bool slots_unconfirmed = false;       // once a take has committed
    std::optional<TimePoint> kept_until;  // taken over plan
  };
  struct Flight : PendingCommit {
    std::vector<InstanceId> instances;
    bool take = false;
  };
  // How the instances of one entry are spread, and are to be.
  struct Plan {
    std::vector<InstanceId> takeable;  // by any live host, in id order
    std::vector<InstanceId> used;      // by this host, those kept apart
    std::size_t mine = 0;              // used or being taken
    std::size_t quota = 0;             // of this host
    std::size_t wanted_before = 0;     // by hosts that choose before this one
    std::size_t wanted_by_others = 0;
  };

  bool IsMine(const Instance& instance) const;
  bool IsOwnEarlierProcess(const Instance& instance) const;
  bool IsTakeable(const Instance& instance) const;
  std::map<EntryName, Plan> MakePlans(TimePoint now) const;
  void SetQuotas(const EntryName& entry,
                 const std::map<HostId, std::size_t>& held, Plan& plan) const;
  void TakeByPlan(TimePoint now, const Plan& plan,
                  std::vector<InstanceId>& takes);
  void ReleaseByPlan(TimePoint now, const EntryName& entry, const Plan& plan,
                     Effects& out);
  void TakeBackOwn(std::vector<InstanceId>& takes);
  void SendTakes(TimePoint now, const std::vector<InstanceId>& ids,
                 Effects& out);
  void SendReleases(TimePoint now, Effects& out);
  void SendGroups(const std::vector<InstanceId>& ids, bool take, Effects& out);
  TableWrite MakeWrite(const InstanceId& id, const Instance& instance,
                       bool take) const;
  void Resend(TimePoint now, Effects& out);
  void ApplyRow(TimePoint now, const InstanceId& id, const TableRow& row,
                Effects& out);
  void OnTaken(TimePoint now, const InstanceId& id, std::uint64_t version,
               Effects& out);
  void OnReleased(TimePoint now, const InstanceId& id, std::uint64_t version);
  void Gain(const InstanceId& id, Instance& instance, Effects& out);
  void StartDrain(const InstanceId& id, Instance& instance, Effects& out);
  void DropAbsent();
  std::string NewWriteId();

  AssignmentManagerSettings settings_;
  AssignmentFaultInjection faults_;
  HostDirectory directory_;
  std::map<InstanceId, Instance> instances_;
  std::map<std::string, Flight> flights_;  // by write id
  std::map<EntryName, TimePoint> over_since_;
  std::uint64_t next_write_ = 1;
  bool rows_known_ = false;
  bool stopping_ = false;
  AssignmentCounters counters_;
};

}  // namespace chivewing
