#include "peer/peer_send_queues.h"

#include <utility>

namespace chivewing {

void PeerSendQueues::Open(const HostId& host) {
  const std::lock_guard lock(mutex_);
  queues_.try_emplace(host);
}

void PeerSendQueues::Close(const HostId& host) {
  const std::lock_guard lock(mutex_);
  queues_.erase(host);
}

bool PeerSendQueues::Push(const HostId& host, const std::string& frame) {
  const std::lock_guard lock(mutex_);
  const auto found = queues_.find(host);
  return found != queues_.end() && PushTo(host, found->second, frame);
}

std::size_t PeerSendQueues::PushAll(const std::string& frame) {
  const std::lock_guard lock(mutex_);
  std::size_t queued = 0;
  for (auto& [host, queue] : queues_) {
    if (PushTo(host, queue, frame)) ++queued;
  }
  return queued;
}

std::size_t PeerSendQueues::Take(const HostId& host, std::size_t max_bytes,
                                 std::string& to) {
  const std::lock_guard lock(mutex_);
  const auto found = queues_.find(host);
  if (found == queues_.end()) return 0;
  SendQueue& queue = found->second;
  std::size_t taken = 0;
  std::size_t bytes = 0;
  while (!queue.frames.empty() && bytes < max_bytes) {
    bytes += queue.frames.front().size();
    to.append(queue.frames.front());
    queue.frames.pop_front();
    ++taken;
  }
  queue.bytes -= bytes;
  return taken;
}

std::vector<HostId> PeerSendQueues::TakeFilled() {
  const std::lock_guard lock(mutex_);
  for (const HostId& host : filled_) {
    const auto found = queues_.find(host);
    if (found != queues_.end()) found->second.listed = false;
  }
  return std::exchange(filled_, {});
}

std::uint64_t PeerSendQueues::refused_full() const {
  const std::lock_guard lock(mutex_);
  return refused_full_;
}

bool PeerSendQueues::PushTo(const HostId& host, SendQueue& queue,
                            const std::string& frame) {
  if (queue.bytes + frame.size() > max_bytes_) {
    ++refused_full_;
    return false;
  }
  queue.bytes += frame.size();
  queue.frames.push_back(frame);
  if (!queue.listed) {
    queue.listed = true;
    filled_.push_back(host);
  }
  return true;
}

}  // namespace chivewing
