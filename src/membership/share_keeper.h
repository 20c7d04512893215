#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "membership/host_directory.h"
#include "platform/table.h"

namespace chivewing {

// Commit this and hand the answer to OnCommit. Sent again, with the same write
// id, while its answer is in doubt.
struct CommitShares {
  TableTransaction transaction;
};

// This host alone may use the instance from now on. With `slots_in_doubt`
// requests of the earlier holder may still run on it: all slots count as busy
// until the instance reports, or the longest request time has passed.
struct ShareGained {
  InstanceId instance;
  std::uint64_t epoch = 0;
  bool slots_in_doubt = false;
};

// Another process holds the share: send the instance nothing more.
struct ShareLost {
  InstanceId instance;
};

// Send the instance nothing new; call OnDrained when nothing runs there.
struct DrainInstance {
  InstanceId instance;
};

using ShareEffect =
    std::variant<CommitShares, ShareGained, ShareLost, DrainInstance>;

struct ShareKeeperSettings {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
  std::size_t group_max = 32;  // rows a transaction
  // How long this host must hold too many before it gives any away.
  Duration settle = std::chrono::seconds(2);
  // How long a share may lie free before others than its host by plan take it.
  Duration overdue = std::chrono::seconds(5);
  // How long a host keeps to itself shares taken over its plan.
  Duration overdue_hold = std::chrono::seconds(60);
  Duration first_retry = std::chrono::milliseconds(50);
  Duration last_retry = std::chrono::seconds(2);
};

// Mechanisms that tests turn off to show what they prevent.
struct ShareKeeperFaults {
  bool take_from_silent = false;   // takes shares of hosts that do not answer
  bool release_undrained = false;  // releases while requests still run
  bool forget_doubt = false;       // an answer in doubt counts as not taken
};

// Counts for the state dump.
struct ShareKeeperCounters {
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
class ShareKeeper {
 public:
  using Effects = std::vector<ShareEffect>;

  explicit ShareKeeper(ShareKeeperSettings settings,
                       ShareKeeperFaults faults = {});

  // The zone's instances that may serve, from the task rows.
  void AddInstance(const InstanceId& instance, const EntryName& entry);
  void RemoveInstance(TimePoint now, const InstanceId& instance, Effects& out);

  // A row share/ZONE/INSTANCE, also when absent (version 0). Older rows than
  // known are ignored. Nothing is taken before SetRowsKnown: the share rows
  // must have been read once.
  void OnShareRow(TimePoint now, const TableRow& row, Effects& out);
  void SetRowsKnown() { rows_known_ = true; }

  HostDirectory& directory() { return directory_; }
  const HostDirectory& directory() const { return directory_; }

  // Nothing of this host runs on a draining instance any more.
  void OnDrained(TimePoint now, const InstanceId& instance, Effects& out);
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitAnswer& answer, Effects& out);

  // Takes and gives away; to be called a few times a second.
  void Tick(TimePoint now, Effects& out);

  // Planned stop: drains and releases everything.
  void Stop(TimePoint now, Effects& out);
  // Whether all shares are given back.
  bool IsStopped() const;

  // Epoch of the held share, if this host may send the instance new work.
  std::optional<std::uint64_t> UsableEpoch(const InstanceId& instance) const;
  ShareKeeperCounters counters() const;

  // The row key of an instance's share.
  static std::string RowKey(const ZoneId& zone, const InstanceId& instance);

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
    Use use = Use::kNone;
    bool in_flight = false;
    bool take_in_doubt = false;  // slots in doubt when the take commits
    std::optional<TimePoint> free_since;
    std::optional<TimePoint> kept_until;  // taken over plan
  };
  struct Flight {
    TableTransaction transaction;
    std::vector<InstanceId> instances;
    bool take = false;
    bool in_doubt = false;
    bool waiting = false;
    TimePoint retry_at;
    Duration backoff{0};
  };
  struct Plan;

  bool IsMine(const Instance& instance) const;
  bool IsTakeable(TimePoint now, const Instance& instance) const;
  bool IsOwnEarlierProcess(const Instance& instance) const;
  void ApplyRow(TimePoint now, const InstanceId& id, Instance& instance,
                const TableRow& row, Effects& out);
  std::vector<InstanceId> ChooseTakes(TimePoint now);
  void ChooseReleases(TimePoint now, Effects& out);
  void TakeAll(TimePoint now, const std::vector<InstanceId>& ids, Effects& out);
  void ReleaseDrained(TimePoint now, Effects& out);
  void StartDrain(const InstanceId& id, Instance& instance, Effects& out);
  void SendFlight(TimePoint now, Flight flight, Effects& out);
  void Resend(TimePoint now, Effects& out);
  void Settle(TimePoint now, const Flight& flight, const CommitAnswer& answer,
              Effects& out);
  void Gain(const InstanceId& id, Instance& instance, Effects& out);

  ShareKeeperSettings settings_;
  ShareKeeperFaults faults_;
  HostDirectory directory_;
  std::map<InstanceId, Instance> instances_;
  std::map<std::string, Flight> flights_;  // by write id
  std::map<EntryName, TimePoint> over_since_;
  std::uint64_t next_write_ = 1;
  bool rows_known_ = false;
  bool stopping_ = false;
  ShareKeeperCounters counters_;
};

}  // namespace chivewing
