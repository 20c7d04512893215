#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "peer/peer_connection.h"
#include "peer/peer_mesh_types.h"
#include "peer/peer_send_queues.h"
#include "peer/socket.h"

namespace chivewing {

// Thread of a PeerMesh: an epoll loop over the listener, the connections and an
// eventfd that wakes it up. Public functions may be called from any thread.
class PeerMeshLoop {
 public:
  PeerMeshLoop(PeerMeshSettings settings, PeerEventHandler handler,
               UniqueFd listener);
  ~PeerMeshLoop();
  PeerMeshLoop(const PeerMeshLoop&) = delete;
  PeerMeshLoop& operator=(const PeerMeshLoop&) = delete;

  std::uint16_t port() const { return BoundPort(listener_); }
  PeerMeshCounters counters() const;
  bool Send(const HostId& to, const PeerMessage& message);
  std::size_t Broadcast(const PeerMessage& message);
  std::size_t SendToEach(const std::vector<HostId>& to,
                         const PeerMessage& message);
  // Makes the loop dial the peer, or remove it if the address is empty.
  void SetPeerAddress(const PeerAddress& peer);
  void SetDropFilter(std::function<bool(const HostId&)> should_drop);

 private:
  using ConnectionId = std::uint64_t;
  using Stage = PeerConnection::Stage;

  // State of a peer that the loop dials.
  struct Peer {
    std::string address;
    ConnectionId connection = 0;  // 0 if there is none
    bool announced = false;       // true between PeerUp and PeerDown
    ZoneId zone;
    std::uint64_t incarnation = 0;
    TimePoint dial_at;
    Duration backoff{0};
    TimePoint heartbeat_at;
    std::uint64_t sequence = 0;
  };

  void Run();
  void Wait();
  void ApplyAddressChanges();
  void RemovePeer(const HostId& host);
  void RunTimers(TimePoint now);
  TimePoint NextTimer(TimePoint now) const;
  std::optional<TimePoint> TimeoutAt(const PeerConnection& connection) const;

  void Dial(TimePoint now, const HostId& host, Peer& peer);
  void AcceptAll(TimePoint now);
  ConnectionId Register(PeerConnection connection);
  void OnReady(TimePoint now, ConnectionId id, std::uint32_t events);
  bool OnWritable(TimePoint now, PeerConnection& connection);
  bool OnReadable(TimePoint now, ConnectionId id);
  bool OnFrame(TimePoint now, ConnectionId id, const std::string& payload);
  bool OnHello(TimePoint now, ConnectionId id, const Hello& hello);
  void OnDialledHello(TimePoint now, ConnectionId id, const Hello& hello);
  bool OnAcceptedHello(TimePoint now, ConnectionId id, const Hello& hello);
  bool OnMessage(PeerConnection& connection, PeerMessage message);
  bool IsAuthorised(const PeerConnection& connection, const Hello& hello) const;
  bool CloseOlderAccepted(ConnectionId id, const Hello& hello);

  void Close(TimePoint now, ConnectionId id);
  void OnDialledClosed(TimePoint now, const HostId& host, Stage stage);
  void AnnounceDown(const HostId& host, Peer& peer);
  void QueueFrame(PeerConnection& connection, const PeerMessage& message);
  void Flush(TimePoint now, ConnectionId id);
  void UpdateWriteEvents(ConnectionId id, PeerConnection& connection);
  void FlushSendQueues(TimePoint now);
  bool IsDropped(const HostId& host) const;
  void Count(std::uint64_t PeerMeshCounters::*counter, std::uint64_t by = 1);
  void Wake();

  const PeerMeshSettings settings_;
  const PeerEventHandler handler_;
  UniqueFd listener_;
  UniqueFd epoll_;
  UniqueFd wake_;
  PeerSendQueues send_queues_;
  std::atomic<bool> wake_pending_{false};

  // Used on the loop's thread only.
  std::map<ConnectionId, PeerConnection> connections_;
  std::map<HostId, Peer> peers_;
  ConnectionId next_connection_;
  std::size_t accepted_ = 0;
  // Before it no timer of a connection or peer is due. Reset by each change
  // that may make one due earlier.
  TimePoint timers_at_{};

  // Guards the members from here to `address_changes_`.
  mutable std::mutex mutex_;
  PeerMeshCounters counters_;
  std::function<bool(const HostId&)> drop_filter_;
  std::vector<PeerAddress> address_changes_;

  // Declared last, so that the thread ends before the members it uses.
  std::jthread thread_;
};

}  // namespace chivewing
