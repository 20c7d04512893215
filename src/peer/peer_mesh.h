#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/result.h"
#include "base/time.h"
#include "peer/messages.h"
#include "peer/peer_mesh_types.h"

namespace chivewing {

class PeerMeshLoop;

// Connections to the other entry hosts. Each host dials each peer and sends on
// the connection which it dialled; on those accepted it only reads, and echoes
// heartbeats. One thread owns all connections; `handler` is called on it and
// must not block.
class PeerMesh {
 public:
  // Binds and starts. kAddressInUse while another process has the address.
  static Result<std::unique_ptr<PeerMesh>> Start(PeerMeshSettings settings,
                                                 PeerEventHandler handler);
  ~PeerMesh();  // closes all connections and joins the thread
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  // The bound port.
  std::uint16_t port() const;
  PeerMeshCounters counters() const;

  // Queues a message; false when the peer is not up, its queue is full, or the
  // message is over one frame. A
  // message that was queued may still be lost with its connection.
  bool Send(const HostId& to, const PeerMessage& message);
  // Sends to every peer that is up; returns to how many it was queued.
  std::size_t Broadcast(const PeerMessage& message);

  // Starts, or with another address restarts, dialling of a peer.
  void AddPeer(const PeerAddress& peer);
  void RemovePeer(const HostId& host);

  // For tests: drops, silently and both ways, all frames of the hosts for which
  // `cut` is true.
  void SetDropFilter(std::function<bool(const HostId&)> cut);

 private:
  explicit PeerMesh(std::unique_ptr<PeerMeshLoop> loop);
  std::unique_ptr<PeerMeshLoop> loop_;
};

}  // namespace chivewing
