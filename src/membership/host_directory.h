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

// One entry host as the platform's list shows it.
struct HostListEntry {
  HostId host;
  ZoneId zone;
  std::string address;
  HostListState state = HostListState::kLive;
};

// The platform's list of entry hosts. What it says may be `lag` old.
struct HostList {
  Duration lag{0};
  std::vector<HostListEntry> hosts;
};

// What is known of the entry hosts, from settings, the platform's list and the
// peers themselves.
class HostDirectory {
 public:
  HostDirectory(HostId self, ZoneId zone);

  void AddConfigured(const HostId& host, const ZoneId& zone,
                     const std::string& address);
  // `asked_at` is when the list was asked for.
  void OnHostList(TimePoint asked_at, const HostList& list);
  void OnPeerUp(const HostId& host, const ZoneId& zone,
                std::uint64_t incarnation);
  void OnPeerDown(const HostId& host);
  void OnPeerLeaving(const HostId& host);

  // Hosts of the own zone that answer and are not leaving, in id order, this
  // one included.
  std::vector<HostId> LiveHostsInZone() const;
  // Whether the platform's list proves that the process of the host which was
  // alive at `since` is gone: a list that says so was asked for at least its
  // lag after that time. A host may come back as a new process meanwhile.
  bool IsConfirmedGoneSince(const HostId& host, TimePoint since) const;
  // Whether the newest list says that the host is gone, however old that is.
  bool IsListedGone(const HostId& host) const;
  // Position of this host among LiveInZone.
  std::size_t Rank() const;
  // Known addresses of hosts that are not gone.
  std::map<HostId, std::string> PeerAddresses() const;

 private:
  struct Entry {
    ZoneId zone;
    std::string address;
    bool connected = false;
    bool leaving = false;
    std::uint64_t incarnation = 0;
    // What the newest list that said gone is sure to be newer than.
    std::optional<TimePoint> gone_as_of;
  };

  HostId self_;
  ZoneId zone_;
  std::map<HostId, Entry> hosts_;
};

}  // namespace chivewing
