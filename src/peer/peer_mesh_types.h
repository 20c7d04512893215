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

// An IPv4 address and port, as "10.0.0.1:7000".
struct PeerAddress {
  HostId host;
  std::string address;
};

struct PeerMeshSettings {
  HostId host;
  ZoneId zone;
  // Must be higher than that of every earlier process of this host.
  std::uint64_t incarnation = 0;
  std::string key;
  std::string listen_address;  // port 0: any free port
  std::vector<PeerAddress> peers;
  std::chrono::milliseconds heartbeat_interval{500};
  // A connection on which nothing was read for this long is closed.
  std::chrono::milliseconds read_idle_timeout{2000};
  // Longest time from connecting to the other end's Hello.
  std::chrono::milliseconds hello_timeout{1000};
  std::chrono::milliseconds initial_reconnect_delay{50};
  std::chrono::milliseconds max_reconnect_delay{2000};
  std::size_t max_frame_bytes = 4UL * 1024 * 1024;
  std::size_t max_queued_bytes = 16UL * 1024 * 1024;  // per peer
  std::size_t max_accepted = 256;                     // connections
};

// A message that a peer sent.
struct PeerMessageReceived {
  HostId from;
  std::uint64_t incarnation = 0;  // of the sending process
  PeerMessage message;
};

// A process of the peer answers. Said again, after a PeerDown, when a fresh
// process has taken the place of the one known before.
struct PeerUp {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
};

// The peer does not answer on a fresh connection either. It may still run.
struct PeerDown {
  HostId host;
  std::uint64_t incarnation = 0;
};

using PeerEvent = std::variant<PeerMessageReceived, PeerUp, PeerDown>;

// Counts since the start, for the state dump.
struct PeerMeshCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bad_frames = 0;     // malformed, oversized, or out of place
  std::uint64_t unauthorised = 0;   // wrong key, or first frame not Hello
  std::uint64_t idle_timeouts = 0;  // connections closed for silence
  std::uint64_t closed = 0;         // connections closed, for any reason
  std::uint64_t refused_full = 0;   // messages refused by a full queue
  std::uint64_t accepted = 0;       // connections that are open now
};

using PeerEventHandler = std::function<void(PeerEvent)>;

}  // namespace chivewing
