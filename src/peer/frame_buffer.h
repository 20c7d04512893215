#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace chivewing {

// Length of a frame's header: the payload's size, big-endian.
inline constexpr std::size_t kFrameHeaderBytes = 4;

// A payload with its header before it.
std::string MakeFrame(std::string_view payload);

// Puts frames together from the pieces in which a connection delivers them.
class FrameBuffer {
 public:
  explicit FrameBuffer(std::size_t max_payload) : max_payload_(max_payload) {}

  // Payload size over which a frame is refused.
  void set_max_payload(std::size_t bytes) { max_payload_ = bytes; }

  void Append(std::string_view bytes);

  // The payload of the next whole frame; nothing while it is not all there.
  // An oversized or empty frame is kBadFrame, as soon as its header is seen.
  Result<std::optional<std::string>> Next();

  // Bytes held that belong to no frame handed out yet.
  std::size_t size() const { return bytes_.size() - start_; }

 private:
  std::size_t max_payload_;
  std::string bytes_;
  std::size_t start_ = 0;  // of the first byte not handed out
};

}  // namespace chivewing
