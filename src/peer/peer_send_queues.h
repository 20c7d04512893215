#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"

namespace chivewing {

// Bounded send queue of frames for each peer that is up. Thread-safe: filled by
// any thread, emptied by the mesh's thread. No I/O.
class PeerSendQueues {
 public:
  explicit PeerSendQueues(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Opens the host's queue for frames. Close drops the queued frames.
  void Open(const HostId& host);
  void Close(const HostId& host);

  // Returns false if the host's queue is closed or full.
  bool Push(const HostId& host, const std::string& frame);
  // Pushes the frame to all open queues; returns how many accepted it.
  std::size_t PushAll(const std::string& frame);

  // Appends whole frames to `to` until at least `max_bytes` are taken or the
  // queue is empty; returns the number of frames.
  std::size_t Take(const HostId& host, std::size_t max_bytes, std::string& to);

  // Hosts to which frames have been pushed since the last call.
  std::vector<HostId> TakeFilled();

  std::uint64_t refused_full() const;

 private:
  struct SendQueue {
    std::deque<std::string> frames;
    std::size_t bytes = 0;
    bool listed = false;  // in filled_
  };
  bool PushTo(const HostId& host, SendQueue& queue, const std::string& frame);

  std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::unordered_map<HostId, SendQueue> queues_;
  std::vector<HostId> filled_;
  std::uint64_t refused_full_ = 0;
};

}  // namespace chivewing
