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

// Message mesh between entry hosts over TCP. Takes messages to send and reports
// received messages and peers that go up or down as PeerEvents. Each host dials
// every peer and sends messages on the connection that it dialled; on accepted
// connections it only reads messages and echoes heartbeats. One thread owns all
// connections and calls `handler`, which must not block.
class PeerMesh {
 public:
  // Binds the listener and starts the thread. Returns kAddressInUse if another
  // process listens on the address.
  static Result<std::unique_ptr<PeerMesh>> Start(PeerMeshSettings settings,
                                                 PeerEventHandler handler);
  // Closes all connections and joins the thread.
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  std::uint16_t port() const;
  PeerMeshCounters counters() const;

  // Queues a message. Returns false if the peer is not up, its queue is full or
  // the message exceeds the maximum frame size. A queued message may still be
  // lost with its connection.
  bool Send(const HostId& to, const PeerMessage& message);
  // Queues a message to every peer that is up; returns the number of peers for
  // which it was queued.
  std::size_t Broadcast(const PeerMessage& message);
  // Queues a message to each of the peers, encoded once; returns the number of
  // peers for which it was queued.
  std::size_t SendToEach(const std::vector<HostId>& to,
                         const PeerMessage& message);

  // Starts dialling a peer; a changed address closes its present connection.
  void AddPeer(const PeerAddress& peer);
  void RemovePeer(const HostId& host);

  // For tests: silently drops all frames to and from the hosts for which
  // `should_drop` returns true.
  void SetDropFilter(std::function<bool(const HostId&)> should_drop);

 private:
  explicit PeerMesh(std::unique_ptr<PeerMeshLoop> loop);
  std::unique_ptr<PeerMeshLoop> loop_;
};

}  // namespace chivewing
