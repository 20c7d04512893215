#include "routing/peer_load_tracker.h"

#include <algorithm>
#include <iterator>

namespace chivewing {

void PeerLoadTracker::Apply(const HostId& peer, const LoadReport& report) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  for (const EntryLoad& load : report.entries) {
    ServiceLoad& service = found->second[load.entry];
    service.load = load;
    while (!service.unreported_forwards.empty() &&
           service.unreported_forwards.front() <= report.last_forward_id) {
      service.unreported_forwards.pop_front();
    }
  }
}

void PeerLoadTracker::AddForward(const HostId& peer, const EntryName& service,
                                 ForwardId forward_id) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  ServiceLoad& load = found->second[service];
  load.unreported_forwards.push_back(forward_id);
  ++load.in_flight;
}

void PeerLoadTracker::RemoveForward(const HostId& peer,
                                    const EntryName& service,
                                    ForwardId forward_id) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  ServiceLoad& load = found->second[service];
  if (load.in_flight > 0) --load.in_flight;
  const auto position = std::find(load.unreported_forwards.begin(),
                                  load.unreported_forwards.end(), forward_id);
  if (position != load.unreported_forwards.end())
    load.unreported_forwards.erase(position);
}

bool PeerLoadTracker::AnyServes(const EntryName& service) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    const auto found = peer.second.find(service);
    return found != peer.second.end() && found->second.load.slots > 0;
  });
}

std::int64_t PeerLoadTracker::EstimateFreeSlots(
    const ServiceLoad& service) const {
  std::int64_t free = service.load.free_slots;
  if (settings_.count_unreported_forwards) {
    free -= static_cast<std::int64_t>(service.unreported_forwards.size());
  }
  return free;
}

Duration PeerLoadTracker::EstimateWait(const ServiceLoad& service,
                                       Duration mean_service) const {
  const Duration round_trip = 2 * settings_.peer_latency;
  const std::int64_t ahead = static_cast<std::int64_t>(service.load.queued) -
                             EstimateFreeSlots(service);
  if (ahead < 0) return round_trip;
  return round_trip + mean_service * (ahead + 1) / service.load.slots;
}

std::optional<HostId> PeerLoadTracker::Choose(const EntryName& service,
                                              Duration mean_service,
                                              Duration local_wait) {
  switch (settings_.peer_choice) {
    case PeerSelectionPolicy::kNone:
      return std::nullopt;
    case PeerSelectionPolicy::kMostFreeSlots:
      return ChooseMostFreeSlots(service);
    case PeerSelectionPolicy::kPowerOfTwoChoices:
      return ChooseBetterOfTwo(service);
    case PeerSelectionPolicy::kShortestExpectedWait:
      return ChooseShortestWait(service, mean_service, local_wait);
    case PeerSelectionPolicy::kMostFreeSlotsThenShortestWait:
      return ChooseMostFreeOrShortestWait(service, mean_service, local_wait);
  }
  return std::nullopt;
}

std::optional<HostId> PeerLoadTracker::ChooseMostFreeSlots(
    const EntryName& service) const {
  std::optional<HostId> best;
  std::int64_t most_free = 0;
  for (const auto& [peer, services] : peers_) {
    const auto found = services.find(service);
    if (found == services.end()) continue;
    const std::int64_t free = EstimateFreeSlots(found->second);
    if (free <= most_free) continue;
    most_free = free;
    best = peer;
  }
  return best;
}

std::optional<HostId> PeerLoadTracker::ChooseBetterOfTwo(
    const EntryName& service) {
  if (peers_.empty()) return std::nullopt;
  std::optional<HostId> best;
  std::int64_t most_free = 0;
  for (int draw = 0; draw < 2; ++draw) {
    const auto index = static_cast<std::ptrdiff_t>(random_() % peers_.size());
    const auto drawn = std::next(peers_.begin(), index);
    const auto found = drawn->second.find(service);
    if (found == drawn->second.end()) continue;
    const std::int64_t free = EstimateFreeSlots(found->second);
    if (free <= most_free) continue;
    most_free = free;
    best = drawn->first;
  }
  return best;
}

std::optional<HostId> PeerLoadTracker::ChooseShortestWait(
    const EntryName& service, Duration mean_service,
    Duration local_wait) const {
  std::optional<HostId> best;
  // The peer's wait must be at most half the local one: a small gain is not
  // worth the round trip and may come from an outdated report.
  Duration shortest_wait = local_wait / 2;
  std::int64_t most_free = 0;
  for (const auto& [peer, services] : peers_) {
    const auto found = services.find(service);
    if (found == services.end() || found->second.load.slots == 0) continue;
    const Duration wait = EstimateWait(found->second, mean_service);
    const std::int64_t free = EstimateFreeSlots(found->second);
    if (wait > shortest_wait || (wait == shortest_wait && free <= most_free))
      continue;
    shortest_wait = wait;
    most_free = free;
    best = peer;
  }
  return best;
}

std::optional<HostId> PeerLoadTracker::ChooseMostFreeOrShortestWait(
    const EntryName& service, Duration mean_service,
    Duration local_wait) const {
  std::optional<HostId> freest = ChooseMostFreeSlots(service);
  if (freest) return freest;
  return ChooseShortestWait(service, mean_service, local_wait);
}

std::vector<PeerSummary> PeerLoadTracker::Summaries() const {
  std::vector<PeerSummary> summaries;
  for (const auto& [peer, services] : peers_) {
    PeerSummary summary{peer, {}, 0};
    for (const auto& [name, service] : services) {
      summary.entries.push_back(service.load);
      summary.forwards_in_flight += service.in_flight;
    }
    summaries.push_back(summary);
  }
  return summaries;
}

}  // namespace chivewing
