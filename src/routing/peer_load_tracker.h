#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "routing/load_report.h"
#include "routing/router_settings.h"
#include "routing/router_state.h"

namespace chivewing {

// Tracks the load of the peers in the zone from their reports and from this
// entry host's own forwards, and chooses the peer to forward a request to. Does
// no I/O.
class PeerLoadTracker {
 public:
  explicit PeerLoadTracker(const RouterSettings& settings)
      : settings_(settings) {}

  void Add(const HostId& peer) { peers_[peer]; }
  void Remove(const HostId& peer) { peers_.erase(peer); }
  bool Contains(const HostId& peer) const { return peers_.contains(peer); }

  // Applies a peer's report. A service that it does not name keeps its load.
  void Apply(const HostId& peer, const LoadReport& report);
  void AddForward(const HostId& peer, const EntryName& service,
                  ForwardId forward_id);
  void RemoveForward(const HostId& peer, const EntryName& service,
                     ForwardId forward_id);

  // True when a peer has usable slots of the service.
  bool AnyServes(const EntryName& service) const;
  // The peer to forward to instead of waiting `local_wait` here, by the
  // selection policy; empty when none is better. `mean_service` is the mean
  // service time.
  std::optional<HostId> Choose(const EntryName& service, Duration mean_service,
                               Duration local_wait);

  std::vector<PeerSummary> Summaries() const;

 private:
  struct ServiceLoad {
    EntryLoad load;
    // Forwards of this host that `load` does not include yet.
    std::deque<ForwardId> unreported_forwards;
    std::uint32_t in_flight = 0;
  };
  using ServiceLoads = std::map<EntryName, ServiceLoad>;

  std::int64_t EstimateFreeSlots(const ServiceLoad& service) const;
  Duration EstimateWait(const ServiceLoad& service,
                        Duration mean_service) const;
  std::optional<HostId> ChooseMostFreeSlots(const EntryName& service) const;
  std::optional<HostId> ChooseBetterOfTwo(const EntryName& service);
  std::optional<HostId> ChooseShortestWait(const EntryName& service,
                                           Duration mean_service,
                                           Duration local_wait) const;
  std::optional<HostId> ChooseMostFreeOrShortestWait(const EntryName& service,
                                                     Duration mean_service,
                                                     Duration local_wait) const;

  RouterSettings settings_;
  std::map<HostId, ServiceLoads> peers_;
  std::minstd_rand random_;
};

}  // namespace chivewing
