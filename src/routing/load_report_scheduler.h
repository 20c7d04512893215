#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "routing/routing_id.h"

namespace chivewing {

// How much a service at one entry host can take, as far as peers care.
enum class Capacity : std::uint8_t { kNone, kFull, kFree };

// Decides when a peer is told of load unasked: only when a service's
// capacity has changed since the peer last heard of it, and not more often
// than the interval.
class LoadReportScheduler {
 public:
  explicit LoadReportScheduler(std::chrono::milliseconds interval)
      : interval_(interval) {}

  // A new peer has yet to be told of every service.
  void AddPeer(const HostId& peer);
  void RemovePeer(const HostId& peer) { peers_.erase(peer); }

  // Last hop received from the peer.
  void RecordReceivedForward(const HostId& peer, ForwardId forward_id);
  ForwardId LastReceivedForward(const HostId& peer) const;

  // Notes the service's present capacity.
  void SetCapacity(const EntryName& service, Capacity capacity);
  // Makes every service news to every peer, at once.
  void MarkAllUnreported();
  // The peer was told of the service's load, asked or unasked.
  void MarkReported(const HostId& peer, const EntryName& service);
  // Services to tell the peer of now; the peer counts as told.
  std::vector<EntryName> TakeUnreportedServices(TimePoint now,
                                                const HostId& peer);
  // Peers that may be told news now.
  std::vector<HostId> DuePeers(TimePoint now) const;
  // When the next peer may be told news; empty when there are none.
  std::optional<TimePoint> NextWakeTime() const;

 private:
  struct Peer {
    ForwardId last_forward_id{};
    std::optional<TimePoint> last_report;
    std::map<EntryName, Capacity> reported;
    int unreported_count =
        0;  // services whose capacity differs from what it was told
  };

  static bool IsUnreported(const Peer& peer, const EntryName& service,
                           Capacity capacity);

  std::chrono::milliseconds interval_;
  std::map<HostId, Peer> peers_;
  std::map<EntryName, Capacity> capacities_;
};

}  // namespace chivewing
