#include "routing/load_report_scheduler.h"

#include <algorithm>

namespace chivewing {

void LoadReportScheduler::AddPeer(const HostId& peer) {
  Peer new_peer;
  new_peer.unreported_count = static_cast<int>(capacities_.size());
  peers_[peer] = new_peer;
}

void LoadReportScheduler::RecordReceivedForward(const HostId& peer,
                                                ForwardId forward_id) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  found->second.last_forward_id =
      std::max(found->second.last_forward_id, forward_id);
}

ForwardId LoadReportScheduler::LastReceivedForward(const HostId& peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? ForwardId{} : found->second.last_forward_id;
}

bool LoadReportScheduler::IsUnreported(const Peer& peer,
                                       const EntryName& service,
                                       Capacity capacity) {
  const auto reported = peer.reported.find(service);
  return reported == peer.reported.end() || reported->second != capacity;
}

void LoadReportScheduler::SetCapacity(const EntryName& service,
                                      Capacity capacity) {
  const auto [found, added] = capacities_.try_emplace(service, capacity);
  if (!added && found->second == capacity) return;
  for (auto& [id, peer] : peers_) {
    if (!added && IsUnreported(peer, service, found->second))
      --peer.unreported_count;
    if (IsUnreported(peer, service, capacity)) ++peer.unreported_count;
  }
  found->second = capacity;
}

void LoadReportScheduler::MarkAllUnreported() {
  for (auto& [id, peer] : peers_) {
    peer.reported.clear();
    peer.last_report.reset();
    peer.unreported_count = static_cast<int>(capacities_.size());
  }
}

void LoadReportScheduler::MarkReported(const HostId& peer,
                                       const EntryName& service) {
  const auto found = peers_.find(peer);
  const auto capacity = capacities_.find(service);
  if (found == peers_.end() || capacity == capacities_.end()) return;
  if (IsUnreported(found->second, service, capacity->second))
    --found->second.unreported_count;
  found->second.reported[service] = capacity->second;
}

std::vector<EntryName> LoadReportScheduler::TakeUnreportedServices(
    TimePoint now, const HostId& peer) {
  std::vector<EntryName> unreported;
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return unreported;
  for (const auto& [service, capacity] : capacities_) {
    if (!IsUnreported(found->second, service, capacity)) continue;
    found->second.reported[service] = capacity;
    unreported.push_back(service);
  }
  found->second.unreported_count = 0;
  found->second.last_report = now;
  return unreported;
}

std::vector<HostId> LoadReportScheduler::DuePeers(TimePoint now) const {
  std::vector<HostId> due;
  for (const auto& [id, peer] : peers_) {
    if (peer.unreported_count == 0) continue;
    if (peer.last_report && now < *peer.last_report + interval_) continue;
    due.push_back(id);
  }
  return due;
}

std::optional<TimePoint> LoadReportScheduler::NextWakeTime() const {
  std::optional<TimePoint> next;
  for (const auto& [id, peer] : peers_) {
    if (peer.unreported_count == 0) continue;
    const TimePoint due =
        peer.last_report ? *peer.last_report + interval_ : TimePoint{};
    if (!next || due < *next) next = due;
  }
  return next;
}

}  // namespace chivewing
