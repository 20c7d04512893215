#include "peer/frame_buffer.h"

#include <cstdint>

namespace chivewing {
namespace {

constexpr unsigned kBitsPerByte = 8;

std::size_t ReadLength(std::string_view header) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = length << kBitsPerByte | static_cast<std::uint8_t>(header[i]);
  }
  return length;
}

}  // namespace

std::string MakeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (std::size_t i = kFrameHeaderBytes; i > 0; --i) {
    frame.push_back(
        static_cast<char>(payload.size() >> (i - 1) * kBitsPerByte & 0xFFU));
  }
  frame.append(payload);
  return frame;
}

void FrameBuffer::Append(std::string_view bytes) {
  if (start_ > 0 && start_ * 2 >= bytes_.size()) {
    bytes_.erase(0, start_);
    start_ = 0;
  }
  bytes_.append(bytes);
}

Result<std::optional<std::string>> FrameBuffer::Next() {
  if (size() < kFrameHeaderBytes) return std::optional<std::string>();
  const std::string_view left = std::string_view(bytes_).substr(start_);
  const std::size_t length = ReadLength(left);
  if (length == 0 || length > max_payload_) {
    return Error{ResultCode::kBadFrame,
                 "frame payload is empty or exceeds the size limit"};
  }
  if (left.size() < kFrameHeaderBytes + length) {
    return std::optional<std::string>();
  }
  std::string payload(left.substr(kFrameHeaderBytes, length));
  start_ += kFrameHeaderBytes + length;
  return std::optional(std::move(payload));
}

}  // namespace chivewing
