#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

enum class HostListState { kLive, kLeaving, kGone };

// An entry host in the platform's host list.
struct HostListEntry {
  HostId host;
  ZoneId zone;
  std::string address;
  HostListState state = HostListState::kLive;
};

// The platform's list of entry hosts. Its content may be up to `lag` old.
struct HostList {
  Duration lag{0};
  std::vector<HostListEntry> hosts;
};

// Tracks the entry hosts' zones, addresses and liveness from the settings, the
// platform's host list and the peer connections. Does no I/O and has no thread
// of its own.
class HostDirectory {
 public:
  HostDirectory(HostId self, ZoneId zone);

  void AddConfigured(const HostId& host, const ZoneId& zone,
                     const std::string& address);
  // `asked_at` is the time at which the list was requested.
  void OnHostList(TimePoint asked_at, const HostList& list);
  void OnPeerUp(const HostId& host, const ZoneId& zone,
                std::uint64_t incarnation);
  void OnPeerDown(const HostId& host);
  void OnPeerLeaving(const HostId& host);

  // Hosts of this zone that are connected and not leaving, in id order,
  // including this host.
  std::vector<HostId> LiveHostsInZone() const;
  // Whether the platform's list proves that the process which ran on the host
  // at `since` is gone: the list reports the host as gone and was requested at
  // least its lag after `since`. The host may be running a new process by now.
  bool IsConfirmedGoneSince(const HostId& host, TimePoint since) const;
  // Whether the newest list reports the host as gone, regardless of its lag.
  bool IsListedGone(const HostId& host) const;
  // Position of this host in LiveHostsInZone().
  std::size_t Rank() const;
  // Known addresses of the other hosts that are not listed as gone.
  std::map<HostId, std::string> PeerAddresses() const;

 private:
  struct Entry {
    ZoneId zone;
    std::string address;
    bool connected = false;
    bool leaving = false;
    std::uint64_t incarnation = 0;
    // When the newest list reports the host as gone: the time of request minus
    // the list's lag, which is the earliest time the report can describe.
    std::optional<TimePoint> gone_as_of;
  };

  HostId self_;
  ZoneId zone_;
  std::map<HostId, Entry> hosts_;
};

}  // namespace chivewing
