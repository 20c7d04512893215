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

// What this entry host believes of its peers' load, and which of them a request
// is best forwarded to.
class PeerLoadTracker {
 public:
  explicit PeerLoadTracker(const RouterSettings& settings)
      : settings_(settings) {}

  void Add(const HostId& peer) { peers_[peer]; }
  void Remove(const HostId& peer) { peers_.erase(peer); }
  bool Contains(const HostId& peer) const { return peers_.contains(peer); }

  // Takes a report. A service that it does not name keeps its load.
  void Apply(const HostId& peer, const LoadReport& report);
  void AddForward(const HostId& peer, const EntryName& service,
                  ForwardId forward_id);
  void RemoveForward(const HostId& peer, const EntryName& service,
                     ForwardId forward_id);

  // Whether any peer has instances of the service.
  bool AnyServes(const EntryName& service) const;
  // The peer to forward to instead of waiting `local_wait` here; empty when
  // none is better.
  std::optional<HostId> Choose(const EntryName& service, Duration mean_service,
                               Duration local_wait);

  std::vector<PeerSummary> Summaries() const;

 private:
  struct ServiceLoad {
    EntryLoad load;
    std::deque<ForwardId>
        unreported_forwards;  // own forwards that `load` does not hold
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
