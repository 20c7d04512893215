#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "peer/frame_buffer.h"
#include "peer/socket.h"

namespace chivewing {

// One TCP connection with a peer: its bytes in and out, and what is known of
// the other end.
struct PeerConnection {
  enum class Stage {
    kConnecting,  // TCP is not there yet
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

  // Reads what is there, up to a bound; false when the other end has closed.
  // Adds the number of bytes to `count`.
  bool Read(std::size_t& count);
  // Writes what fits; false when the connection is broken.
  bool Write(std::size_t& count);
  std::size_t unsent() const { return output.size() - output_start; }

  UniqueFd fd;
  bool dialled;
  Stage stage;
  FrameBuffer frames;
  std::string output;
  std::size_t output_start = 0;
  bool write_events_enabled = true;  // as registered with epoll
  HostId host;                       // accepted: empty before Hello
  std::uint64_t incarnation = 0;
  TimePoint opened_at;
  TimePoint last_read_at;
};

}  // namespace chivewing
