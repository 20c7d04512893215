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

// Capacity of a service at one entry host, as coarse as peers need it: no
// usable slots, no free slots, or free slots.
enum class Capacity : std::uint8_t { kNone, kFull, kFree };

// Decides when an unsolicited load report is sent to a peer: when the capacity
// of a service differs from what was last reported to the peer, and at most
// once per interval. Does no I/O and reads no clock; the caller builds and
// sends the reports.
class LoadReportScheduler {
 public:
  explicit LoadReportScheduler(std::chrono::milliseconds interval)
      : interval_(interval) {}

  // Adds a peer, to which every service is still unreported.
  void AddPeer(const HostId& peer);
  void RemovePeer(const HostId& peer) { peers_.erase(peer); }

  // Records that `forward_id` was received from the peer.
  void RecordReceivedForward(const HostId& peer, ForwardId forward_id);
  ForwardId LastReceivedForward(const HostId& peer) const;

  // Sets the service's present capacity.
  void SetCapacity(const EntryName& service, Capacity capacity);
  // Marks every service as unreported to every peer and lets the next report go
  // out without waiting for the interval.
  void MarkAllUnreported();
  // Records that the service's load was sent to the peer, also as part of a
  // response to a forward.
  void MarkReported(const HostId& peer, const EntryName& service);
  // Returns the services to report to the peer now and marks them as reported.
  std::vector<EntryName> TakeUnreportedServices(TimePoint now,
                                                const HostId& peer);
  // Peers with unreported services whose interval has passed.
  std::vector<HostId> DuePeers(TimePoint now) const;
  // When the next report is due; empty when nothing is unreported.
  std::optional<TimePoint> NextWakeTime() const;

 private:
  struct Peer {
    ForwardId last_forward_id{};
    std::optional<TimePoint> last_report;
    std::map<EntryName, Capacity> reported;
    // Services whose capacity differs from the one in `reported`.
    int unreported_count = 0;
  };

  static bool IsUnreported(const Peer& peer, const EntryName& service,
                           Capacity capacity);

  std::chrono::milliseconds interval_;
  std::map<HostId, Peer> peers_;
  std::map<EntryName, Capacity> capacities_;
};

}  // namespace chivewing
