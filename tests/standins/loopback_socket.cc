#include "standins/loopback_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace chivewing {

void WriteAll(int fd, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t count =
        send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (count <= 0) return;
    done += static_cast<std::size_t>(count);
  }
}

int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
  if (connect(fd, generic, sizeof(address)) == 0) return fd;
  close(fd);
  return -1;
}

std::string ReadUntil(int fd, const std::string& text) {
  std::string out;
  char block[4096];
  while (text.empty() || out.find(text) == std::string::npos) {
    const ssize_t count = read(fd, block, sizeof(block));
    if (count <= 0) return out;
    out.append(block, static_cast<std::size_t>(count));
  }
  return out;
}

}  // namespace chivewing
