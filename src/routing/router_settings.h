#pragma once

#include <chrono>
#include <cstdint>

namespace chivewing {

// How an entry host without a free slot chooses the peer to forward to.
enum class PeerSelectionPolicy : std::uint8_t {
  kNone,                  // never forwards
  kMostFreeSlots,         // most free slots; queues here when none is free
  kPowerOfTwoChoices,     // of two random peers, the one with more free slots
  kShortestExpectedWait,  // shortest expected wait, including the peer's queue
  kMostFreeSlotsThenShortestWait,  // most free slots; when none is free,
                                   // shortest expected wait
};

// Settings of the router and its parts.
struct RouterSettings {
  PeerSelectionPolicy peer_choice =
      PeerSelectionPolicy::kMostFreeSlotsThenShortestWait;
  // True when own forwards that a peer's report does not include yet count as
  // used slots of the peer.
  bool count_unreported_forwards = true;
  // Minimum time between two unsolicited load reports to the same peer.
  std::chrono::milliseconds report_interval{100};
  // One-way network latency to a peer of the zone.
  std::chrono::microseconds peer_latency{500};

  // Failures in a row after which an instance is ejected.
  std::uint32_t max_consecutive_failures = 3;
  // An instance counts as slow when its mean service time exceeds that of the
  // service's other instances by this factor.
  double slow_factor = 4.0;
  // Responses of an instance before it can count as slow.
  std::uint32_t min_slow_samples = 20;
  // Maximum fraction of a service's instances that may be ejected at once.
  double max_ejected_fraction = 1.0 / 3;
  std::chrono::milliseconds probe_timeout{200};
  std::chrono::milliseconds probe_interval{500};
  // Successful probes in a row before an ejected instance takes requests again.
  std::uint32_t probes_to_readmit = 3;

  // Longest time until a sent request has reached its instance or is lost.
  std::chrono::milliseconds max_arrival_delay{50};
  // How long past its deadline a request, or past its timeout a probe, without
  // any outcome is given up.
  std::chrono::milliseconds outcome_grace{1000};
};

}  // namespace chivewing
