#include "routing/load_report_scheduler.h"

#include <algorithm>

namespace chivewing {

void LoadReportScheduler::AddPeer(const HostId& peer) {
  Peer fresh;
  fresh.news = static_cast<int>(capacities_.size());
  peers_[peer] = fresh;
}

void LoadReportScheduler::RecordReceivedForward(const HostId& peer,
                                                ForwardId hop) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  found->second.last_forward_id = std::max(found->second.last_forward_id, hop);
}

ForwardId LoadReportScheduler::seen_hop(const HostId& peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? ForwardId{} : found->second.last_forward_id;
}

bool LoadReportScheduler::Differs(const Peer& peer, const EntryName& service,
                                  Capacity capacity) {
  const auto told = peer.told.find(service);
  return told == peer.told.end() || told->second != capacity;
}

void LoadReportScheduler::SetCapacity(const EntryName& service,
                                      Capacity capacity) {
  const auto [found, added] = capacities_.try_emplace(service, capacity);
  if (!added && found->second == capacity) return;
  for (auto& [id, peer] : peers_) {
    if (!added && Differs(peer, service, found->second)) --peer.news;
    if (Differs(peer, service, capacity)) ++peer.news;
  }
  found->second = capacity;
}

void LoadReportScheduler::MarkAllUnreported() {
  for (auto& [id, peer] : peers_) {
    peer.told.clear();
    peer.last_report.reset();
    peer.news = static_cast<int>(capacities_.size());
  }
}

void LoadReportScheduler::MarkReported(const HostId& peer,
                                       const EntryName& service) {
  const auto found = peers_.find(peer);
  const auto capacity = capacities_.find(service);
  if (found == peers_.end() || capacity == capacities_.end()) return;
  if (Differs(found->second, service, capacity->second)) --found->second.news;
  found->second.told[service] = capacity->second;
}

std::vector<EntryName> LoadReportScheduler::TakeUnreportedServices(
    TimePoint now, const HostId& peer) {
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

std::vector<HostId> LoadReportScheduler::DuePeers(TimePoint now) const {
  std::vector<HostId> due;
  for (const auto& [id, peer] : peers_) {
    if (peer.news == 0) continue;
    if (peer.last_report && now < *peer.last_report + interval_) continue;
    due.push_back(id);
  }
  return due;
}

std::optional<TimePoint> LoadReportScheduler::NextWakeTime() const {
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
