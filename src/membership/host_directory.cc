#include "membership/host_directory.h"

#include <algorithm>
#include <utility>

namespace chivewing {

HostDirectory::HostDirectory(HostId self, ZoneId zone)
    : self_(std::move(self)), zone_(std::move(zone)) {
  Entry& own = hosts_[self_];
  own.zone = zone_;
  own.connected = true;
}

void HostDirectory::AddConfigured(const HostId& host, const ZoneId& zone,
                                  const std::string& address) {
  Entry& entry = hosts_[host];
  entry.zone = zone;
  entry.address = address;
}

void HostDirectory::OnHostList(TimePoint asked_at, const HostList& list) {
  for (const HostListEntry& listed : list.hosts) {
    Entry& entry = hosts_[listed.host];
    entry.zone = listed.zone;
    if (!listed.address.empty()) entry.address = listed.address;
    if (listed.state == HostListState::kLeaving) entry.leaving = true;
    if (listed.state == HostListState::kGone) {
      entry.gone_as_of = asked_at - list.lag;
    } else {
      entry.gone_as_of.reset();
    }
  }
}

void HostDirectory::OnPeerUp(const HostId& host, const ZoneId& zone,
                             std::uint64_t incarnation) {
  Entry& entry = hosts_[host];
  entry.zone = zone;
  entry.connected = true;
  if (entry.incarnation != incarnation) entry.leaving = false;
  entry.incarnation = incarnation;
}

void HostDirectory::OnPeerDown(const HostId& host) {
  hosts_[host].connected = false;
}

void HostDirectory::OnPeerLeaving(const HostId& host) {
  hosts_[host].leaving = true;
}

std::vector<HostId> HostDirectory::LiveHostsInZone() const {
  std::vector<HostId> live;
  for (const auto& [host, entry] : hosts_) {
    if (entry.zone == zone_ && entry.connected && !entry.leaving)
      live.push_back(host);
  }
  return live;
}

bool HostDirectory::IsConfirmedGoneSince(const HostId& host,
                                         TimePoint since) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || !found->second.gone_as_of) return false;
  return *found->second.gone_as_of >= since;
}

bool HostDirectory::IsListedGone(const HostId& host) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.gone_as_of.has_value();
}

std::size_t HostDirectory::Rank() const {
  const std::vector<HostId> live = LiveHostsInZone();
  const auto self = std::find(live.begin(), live.end(), self_);
  return static_cast<std::size_t>(self - live.begin());
}

std::map<HostId, std::string> HostDirectory::PeerAddresses() const {
  std::map<HostId, std::string> addresses;
  for (const auto& [host, entry] : hosts_) {
    if (host == self_ || entry.address.empty() || entry.gone_as_of) continue;
    addresses[host] = entry.address;
  }
  return addresses;
}

}  // namespace chivewing
