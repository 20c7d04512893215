#include "peer/peer_connection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace chivewing {
namespace {

constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr int kMaxReadsPerEvent = 8;

bool IsTransient(int error) { return error == EAGAIN || error == EINTR; }

}  // namespace

bool PeerConnection::Read(std::size_t& count) {
  std::array<char, kReadBytes> buffer;
  for (int i = 0; i < kMaxReadsPerEvent; ++i) {
    const ssize_t got = recv(fd.get(), buffer.data(), buffer.size(), 0);
    if (got == 0) return false;
    if (got < 0) return IsTransient(errno);
    frames.Append({buffer.data(), static_cast<std::size_t>(got)});
    count += static_cast<std::size_t>(got);
    if (static_cast<std::size_t>(got) < buffer.size()) return true;
  }
  return true;
}

bool PeerConnection::Write(std::size_t& count) {
  while (unsent() > 0) {
    const ssize_t sent =
        send(fd.get(), output.data() + output_start, unsent(), MSG_NOSIGNAL);
    if (sent < 0) return IsTransient(errno);
    output_start += static_cast<std::size_t>(sent);
    count += static_cast<std::size_t>(sent);
  }
  output.clear();
  output_start = 0;
  return true;
}

}  // namespace chivewing
