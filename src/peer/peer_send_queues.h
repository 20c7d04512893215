#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/id.h"

namespace chivewing {

// Bounded queues of frames to the peers that are up: filled by any thread,
// emptied by the mesh's own.
class PeerSendQueues {
 public:
  explicit PeerSendQueues(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Lets frames to the host in; closing drops those that wait.
  void Open(const HostId& host);
  void Close(const HostId& host);

  // False when the host's queue is closed or full.
  bool Push(const HostId& host, const std::string& frame);
  // Queues to all that are open; returns to how many it was queued.
  std::size_t PushAll(const std::string& frame);

  // Moves whole frames, at most about `max_bytes` of them, to the end of `to`;
  // returns how many.
  std::size_t Take(const HostId& host, std::size_t max_bytes, std::string& to);

  std::uint64_t refused_full() const;

 private:
  struct Outbox {
    std::deque<std::string> frames;
    std::size_t bytes = 0;
  };
  bool PushTo(Outbox& outbox, const std::string& frame);

  std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::unordered_map<HostId, Outbox> open_;
  std::uint64_t refused_full_ = 0;
};

}  // namespace chivewing
