#pragma once

#include <chrono>
#include <cstdint>

namespace chivewing {

// How a full entry host picks the peer to forward to.
enum class PeerSelectionPolicy : std::uint8_t {
  kNone,                           // never forwards
  kMostFreeSlots,                  // most free slots, else queues here
  kPowerOfTwoChoices,              // the freer of two peers drawn at random
  kShortestExpectedWait,           // shortest expected wait, queues included
  kMostFreeSlotsThenShortestWait,  // the freest; when none is free, the
                                   // shortest wait
};

// Bounds of the router's policy.
struct RouterSettings {
  PeerSelectionPolicy peer_choice =
      PeerSelectionPolicy::kMostFreeSlotsThenShortestWait;
  // Count own forwards that a peer's report does not hold yet.
  bool count_unreported_forwards = true;
  // Least time between two unasked load reports to the same peer.
  std::chrono::milliseconds report_interval{100};
  // One-way time to a peer of the zone.
  std::chrono::microseconds peer_latency{500};

  // Failures in a row after which an instance is put aside.
  std::uint32_t max_consecutive_failures = 3;
  // Mean service time over that of all instances that counts as slow.
  double slow_factor = 4.0;
  // Answers of an instance before its service time is judged.
  std::uint32_t min_slow_samples = 20;
  // Most of a service's instances that may be put aside at once.
  double max_ejected_fraction = 1.0 / 3;
  std::chrono::milliseconds probe_timeout{200};
  std::chrono::milliseconds probe_interval{500};
  // Good probes in a row before an instance takes work again.
  std::uint32_t probes_to_readmit = 3;

  // Longest time until what was sent has reached an instance or is lost.
  std::chrono::milliseconds max_arrival_delay{50};
  // How long after its timeout a dispatch without any outcome is given up.
  std::chrono::milliseconds outcome_grace{1000};
};

}  // namespace chivewing
