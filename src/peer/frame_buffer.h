#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace chivewing {

// Size of the frame header, which holds the payload size in big-endian order.
inline constexpr std::size_t kFrameHeaderBytes = 4;

// Returns the payload preceded by its header.
std::string MakeFrame(std::string_view payload);

// Reassembles frames from the byte stream of a connection. No I/O.
class FrameBuffer {
 public:
  explicit FrameBuffer(std::size_t max_payload) : max_payload_(max_payload) {}

  // Frames with a larger payload are rejected.
  void set_max_payload(std::size_t bytes) { max_payload_ = bytes; }

  void Append(std::string_view bytes);

  // Returns the payload of the next complete frame, or nullopt if more bytes
  // are needed. Returns kBadFrame as soon as the header of an oversized or
  // empty frame is complete.
  Result<std::optional<std::string>> Next();

  // Number of buffered bytes that Next has not returned yet.
  std::size_t size() const { return bytes_.size() - start_; }

 private:
  std::size_t max_payload_;
  std::string bytes_;
  std::size_t start_ = 0;  // offset of the first byte not yet returned
};

}  // namespace chivewing
