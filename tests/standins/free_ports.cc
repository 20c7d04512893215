#include "standins/free_ports.h"

#include <unistd.h>

#include <string>

#include "http/listen_socket.h"

namespace chivewing {
namespace {

constexpr int kFirstPort = 10000;
constexpr int kPorts = 20000;
// Separates the ports that concurrent processes try first.
constexpr int kStride = 97;

}  // namespace

std::vector<std::uint16_t> FreePorts(std::size_t count) {
  static int next = getpid() * kStride % kPorts;
  std::vector<int> sockets;
  std::vector<std::uint16_t> ports;
  for (int tries = 0; tries < kPorts && ports.size() < count; ++tries) {
    const int port = kFirstPort + next;
    next = (next + 1) % kPorts;
    const auto opened = OpenListenSocket("127.0.0.1:" + std::to_string(port));
    if (!opened) continue;
    sockets.push_back(opened.value().fd);
    ports.push_back(static_cast<std::uint16_t>(port));
  }
  for (const int socket : sockets) close(socket);
  return ports;
}

}  // namespace chivewing
