#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "peer/messages.h"

namespace chivewing {

// A peer's IPv4 address and port, for example "10.0.0.1:7000".
struct PeerAddress {
  HostId host;
  std::string address;
};

struct PeerMeshSettings {
  HostId host;
  ZoneId zone;
  // Must be higher than the incarnation of every earlier process of this host.
  std::uint64_t incarnation = 0;
  std::string key;
  std::string listen_address;  // port 0 selects any free port
  std::vector<PeerAddress> peers;
  std::chrono::milliseconds heartbeat_interval{500};
  // A connection is closed after this time without received bytes.
  std::chrono::milliseconds read_idle_timeout{2000};
  // Maximum time from opening a connection to the other end's Hello.
  std::chrono::milliseconds hello_timeout{1000};
  std::chrono::milliseconds initial_reconnect_delay{50};
  std::chrono::milliseconds max_reconnect_delay{2000};
  std::size_t max_frame_bytes = 4UL * 1024 * 1024;
  std::size_t max_queued_bytes = 16UL * 1024 * 1024;  // per peer
  std::size_t max_accepted = 256;  // accepted connections open at a time
};

// A message received from a peer.
struct PeerMessageReceived {
  HostId from;
  std::uint64_t incarnation = 0;  // of the sender's process
  PeerMessage message;
};

// The peer is connected and authorised. When a new process replaces the known
// one, PeerDown of the old process and another PeerUp are reported.
struct PeerUp {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
};

// The peer is unreachable: a new connection to it failed as well, a new process
// replaced it, or it was removed. The old process may still be running.
struct PeerDown {
  HostId host;
  std::uint64_t incarnation = 0;
};

using PeerEvent = std::variant<PeerMessageReceived, PeerUp, PeerDown>;

// Totals since the start, for the state dump. `accepted` is a current value.
struct PeerMeshCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  // Frames that are malformed, oversized or not expected on their connection.
  std::uint64_t bad_frames = 0;
  // Connections whose first message is not Hello, or whose Hello has a wrong
  // key, host or protocol version.
  std::uint64_t unauthorised = 0;
  // Connections closed for lack of a Hello or of received bytes.
  std::uint64_t idle_timeouts = 0;
  std::uint64_t closed = 0;        // connections closed, for any reason
  std::uint64_t refused_full = 0;  // messages rejected by a full queue
  std::uint64_t accepted = 0;      // accepted connections open now
};

using PeerEventHandler = std::function<void(PeerEvent)>;

}  // namespace chivewing
