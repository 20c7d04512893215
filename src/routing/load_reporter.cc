#include "routing/load_reporter.h"

#include <algorithm>

namespace chivewing {

void LoadReporter::AddPeer(const HostId& peer) {
  Peer fresh;
  fresh.news = static_cast<int>(capacities_.size());
  peers_[peer] = fresh;
}

void LoadReporter::SeeHop(const HostId& peer, HopId hop) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  found->second.seen_hop = std::max(found->second.seen_hop, hop);
}

HopId LoadReporter::seen_hop(const HostId& peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? HopId{} : found->second.seen_hop;
}

bool LoadReporter::Differs(const Peer& peer, const EntryName& service,
                           Capacity capacity) {
  const auto told = peer.told.find(service);
  return told == peer.told.end() || told->second != capacity;
}

void LoadReporter::SetCapacity(const EntryName& service, Capacity capacity) {
  const auto [found, added] = capacities_.try_emplace(service, capacity);
  if (!added && found->second == capacity) return;
  for (auto& [id, peer] : peers_) {
    if (!added && Differs(peer, service, found->second)) --peer.news;
    if (Differs(peer, service, capacity)) ++peer.news;
  }
  found->second = capacity;
}

void LoadReporter::ForgetTold() {
  for (auto& [id, peer] : peers_) {
    peer.told.clear();
    peer.last_report.reset();
    peer.news = static_cast<int>(capacities_.size());
  }
}

void LoadReporter::SetTold(const HostId& peer, const EntryName& service) {
  const auto found = peers_.find(peer);
  const auto capacity = capacities_.find(service);
  if (found == peers_.end() || capacity == capacities_.end()) return;
  if (Differs(found->second, service, capacity->second)) --found->second.news;
  found->second.told[service] = capacity->second;
}

std::vector<EntryName> LoadReporter::TakeNews(TimePoint now,
                                              const HostId& peer) {
  std::vector<EntryName> news;
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return news;
  for (const auto& [service, capacity] : capacities_) {
    if (!Differs(found->second, service, capacity)) continue;
    found->second.told[service] = capacity;
    news.push_back(service);
  }
  found->second.news = 0;
  found->second.last_report = now;
  return news;
}

std::vector<HostId> LoadReporter::DuePeers(TimePoint now) const {
  std::vector<HostId> due;
  for (const auto& [id, peer] : peers_) {
    if (peer.news == 0) continue;
    if (peer.last_report && now < *peer.last_report + interval_) continue;
    due.push_back(id);
  }
  return due;
}

std::optional<TimePoint> LoadReporter::NextDue() const {
  std::optional<TimePoint> next;
  for (const auto& [id, peer] : peers_) {
    if (peer.news == 0) continue;
    const TimePoint due =
        peer.last_report ? *peer.last_report + interval_ : TimePoint{};
    if (!next || due < *next) next = due;
  }
  return next;
}

}  // namespace chivewing
