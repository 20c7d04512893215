#include "peer/peer_send_queues.h"

namespace chivewing {

void PeerSendQueues::Open(const HostId& host) {
  const std::lock_guard lock(mutex_);
  open_.try_emplace(host);
}

void PeerSendQueues::Close(const HostId& host) {
  const std::lock_guard lock(mutex_);
  open_.erase(host);
}

bool PeerSendQueues::Push(const HostId& host, const std::string& frame) {
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(host);
  return found != open_.end() && PushTo(found->second, frame);
}

std::size_t PeerSendQueues::PushAll(const std::string& frame) {
  const std::lock_guard lock(mutex_);
  std::size_t queued = 0;
  for (auto& [host, outbox] : open_) {
    if (PushTo(outbox, frame)) ++queued;
  }
  return queued;
}

std::size_t PeerSendQueues::Take(const HostId& host, std::size_t max_bytes,
                                 std::string& to) {
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(host);
  if (found == open_.end()) return 0;
  Outbox& outbox = found->second;
  std::size_t taken = 0;
  std::size_t bytes = 0;
  while (!outbox.frames.empty() && bytes < max_bytes) {
    bytes += outbox.frames.front().size();
    to.append(outbox.frames.front());
    outbox.frames.pop_front();
    ++taken;
  }
  outbox.bytes -= bytes;
  return taken;
}

std::uint64_t PeerSendQueues::refused_full() const {
  const std::lock_guard lock(mutex_);
  return refused_full_;
}

bool PeerSendQueues::PushTo(Outbox& outbox, const std::string& frame) {
  if (outbox.bytes + frame.size() > max_bytes_) {
    ++refused_full_;
    return false;
  }
  outbox.bytes += frame.size();
  outbox.frames.push_back(frame);
  return true;
}

}  // namespace chivewing
