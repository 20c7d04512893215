#include "peer/peer_mesh.h"

#include <boost/outcome/try.hpp>
#include <utility>

#include "peer/peer_mesh_loop.h"

namespace chivewing {

Result<std::unique_ptr<PeerMesh>> PeerMesh::Start(PeerMeshSettings settings,
                                                  PeerEventHandler handler) {
  BOOST_OUTCOME_TRY(listener, ListenOn(settings.listen_address));
  auto loop = std::make_unique<PeerMeshLoop>(
      std::move(settings), std::move(handler), std::move(listener));
  return std::unique_ptr<PeerMesh>(new PeerMesh(std::move(loop)));
}

PeerMesh::PeerMesh(std::unique_ptr<PeerMeshLoop> loop)
    : loop_(std::move(loop)) {}
PeerMesh::~PeerMesh() = default;

std::uint16_t PeerMesh::port() const { return loop_->port(); }

PeerMeshCounters PeerMesh::counters() const { return loop_->counters(); }

bool PeerMesh::Send(const HostId& to, const PeerMessage& message) {
  return loop_->Send(to, message);
}

std::size_t PeerMesh::Broadcast(const PeerMessage& message) {
  return loop_->Broadcast(message);
}

std::size_t PeerMesh::SendToEach(const std::vector<HostId>& to,
                                 const PeerMessage& message) {
  return loop_->SendToEach(to, message);
}

void PeerMesh::AddPeer(const PeerAddress& peer) { loop_->SetPeerAddress(peer); }

void PeerMesh::RemovePeer(const HostId& host) {
  loop_->SetPeerAddress(PeerAddress{host, ""});
}

void PeerMesh::SetDropFilter(std::function<bool(const HostId&)> should_drop) {
  loop_->SetDropFilter(std::move(should_drop));
}

}  // namespace chivewing
