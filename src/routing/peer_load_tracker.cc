#include "routing/peer_load_tracker.h"

#include <algorithm>
#include <iterator>

namespace chivewing {

void PeerLoadTracker::Apply(const HostId& peer, const LoadReport& report) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  for (const EntryLoad& load : report.entries) {
    Service& service = found->second[load.entry];
    service.load = load;
    while (!service.unseen.empty() &&
           service.unseen.front() <= report.last_forward_id) {
      service.unseen.pop_front();
    }
  }
}

void PeerLoadTracker::AddForward(const HostId& peer, const EntryName& service,
                                 ForwardId hop) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  Service& load = found->second[service];
  load.unseen.push_back(hop);
  ++load.in_flight;
}

void PeerLoadTracker::RemoveForward(const HostId& peer,
                                    const EntryName& service, ForwardId hop) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  Service& load = found->second[service];
  if (load.in_flight > 0) --load.in_flight;
  const auto unseen = std::find(load.unseen.begin(), load.unseen.end(), hop);
  if (unseen != load.unseen.end()) load.unseen.erase(unseen);
}

bool PeerLoadTracker::AnyServes(const EntryName& service) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    const auto found = peer.second.find(service);
    return found != peer.second.end() && found->second.load.slots > 0;
  });
}

std::int64_t PeerLoadTracker::BelievedFree(const Service& service) const {
  std::int64_t free = service.load.free_slots;
  if (settings_.count_unreported_forwards) {
    free -= static_cast<std::int64_t>(service.unseen.size());
  }
  return free;
}

Duration PeerLoadTracker::ExpectedWait(const Service& service,
                                       Duration mean_service) const {
  const Duration hops = 2 * settings_.hop_time;
  const std::int64_t ahead =
      static_cast<std::int64_t>(service.load.queued) - BelievedFree(service);
  if (ahead < 0) return hops;
  return hops + mean_service * (ahead + 1) / service.load.slots;
}

std::optional<HostId> PeerLoadTracker::Choose(const EntryName& service,
                                              Duration mean_service,
                                              Duration local_wait) {
  switch (settings_.peer_choice) {
    case PeerSelectionPolicy::kNone:
      return std::nullopt;
    case PeerSelectionPolicy::kMostFreeSlots:
      return ChooseFreest(service);
    case PeerSelectionPolicy::kPowerOfTwoChoices:
      return ChooseOfTwo(service);
    case PeerSelectionPolicy::kShortestExpectedWait:
      return ChooseShortest(service, mean_service, local_wait);
    case PeerSelectionPolicy::kMostFreeSlotsThenShortestWait:
      return ChooseFreestOrShortest(service, mean_service, local_wait);
  }
  return std::nullopt;
}

std::optional<HostId> PeerLoadTracker::ChooseFreest(
    const EntryName& service) const {
  std::optional<HostId> best;
  std::int64_t most = 0;
  for (const auto& [peer, services] : peers_) {
    const auto found = services.find(service);
    if (found == services.end()) continue;
    const std::int64_t free = BelievedFree(found->second);
    if (free <= most) continue;
    most = free;
    best = peer;
  }
  return best;
}

std::optional<HostId> PeerLoadTracker::ChooseOfTwo(const EntryName& service) {
  if (peers_.empty()) return std::nullopt;
  std::optional<HostId> best;
  std::int64_t most = 0;
  for (int draw = 0; draw < 2; ++draw) {
    const auto index = static_cast<std::ptrdiff_t>(random_() % peers_.size());
    const auto drawn = std::next(peers_.begin(), index);
    const auto found = drawn->second.find(service);
    if (found == drawn->second.end()) continue;
    const std::int64_t free = BelievedFree(found->second);
    if (free <= most) continue;
    most = free;
    best = drawn->first;
  }
  return best;
}

std::optional<HostId> PeerLoadTracker::ChooseShortest(
    const EntryName& service, Duration mean_service,
    Duration local_wait) const {
  std::optional<HostId> best;
  // A small gain is not worth the hops, and may be an old report.
  Duration least = local_wait / 2;
  std::int64_t most = 0;
  for (const auto& [peer, services] : peers_) {
    const auto found = services.find(service);
    if (found == services.end() || found->second.load.slots == 0) continue;
    const Duration wait = ExpectedWait(found->second, mean_service);
    const std::int64_t free = BelievedFree(found->second);
    if (wait > least || (wait == least && free <= most)) continue;
    least = wait;
    most = free;
    best = peer;
  }
  return best;
}

std::optional<HostId> PeerLoadTracker::ChooseFreestOrShortest(
    const EntryName& service, Duration mean_service,
    Duration local_wait) const {
  std::optional<HostId> freest = ChooseFreest(service);
  if (freest) return freest;
  return ChooseShortest(service, mean_service, local_wait);
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
