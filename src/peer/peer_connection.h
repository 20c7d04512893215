#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "peer/frame_buffer.h"
#include "peer/socket.h"

namespace chivewing {

// A TCP connection to or from a peer: socket, buffers and the peer's identity.
// Non-blocking I/O; used only on the thread of the mesh's loop.
struct PeerConnection {
  enum class Stage {
    kConnecting,  // TCP connection not established yet
    kHandshake,   // no valid Hello received yet
    kOpen,
  };

  PeerConnection(UniqueFd socket, bool is_dialled, std::size_t max_frame,
                 TimePoint now)
      : fd(std::move(socket)),
        dialled(is_dialled),
        stage(is_dialled ? Stage::kConnecting : Stage::kHandshake),
        frames(max_frame),
        opened_at(now),
        last_read_at(now) {}

  // Reads the available bytes, up to a bound, and adds their number to `count`.
  // Returns false if the connection is closed or broken.
  bool Read(std::size_t& count);
  // Writes as much as the socket accepts and adds the number of bytes to
  // `count`. Returns false if the connection is broken.
  bool Write(std::size_t& count);
  std::size_t unsent() const { return output.size() - output_start; }

  UniqueFd fd;
  bool dialled;
  Stage stage;
  FrameBuffer frames;
  std::string output;
  std::size_t output_start = 0;
  bool write_events_enabled = true;  // as registered with epoll
  HostId host;  // empty on an accepted connection until its Hello
  std::uint64_t incarnation = 0;
  TimePoint opened_at;
  TimePoint last_read_at;
};

}  // namespace chivewing
