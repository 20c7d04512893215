#include "proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <thread>

namespace review {
namespace {

constexpr int kBacklog = 128;
constexpr std::size_t kBlock = 16384;

sockaddr_in AddressOf(const std::string& text) {
  const auto colon = text.find(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

void Pass(int from, int to) {
  std::array<char, kBlock> block;
  while (true) {
    const ssize_t got = recv(from, block.data(), block.size(), 0);
    if (got <= 0) break;
    for (ssize_t sent = 0; sent < got;) {
      const ssize_t some =
          send(to, block.data() + sent, static_cast<std::size_t>(got - sent),
               MSG_NOSIGNAL);
      if (some <= 0) break;
      sent += some;
    }
  }
  shutdown(from, SHUT_RDWR);
  shutdown(to, SHUT_RDWR);
}

void Serve(int client, sockaddr_in target) {
  const int server = socket(AF_INET, SOCK_STREAM, 0);
  const int one = 1;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  if (connect(server, reinterpret_cast<sockaddr*>(&target), sizeof(target)) ==
      0) {
    std::thread back([=] { Pass(server, client); });
    Pass(client, server);
    back.join();
  }
  close(client);
  close(server);
}

}  // namespace

void RunProxy(const std::string& listen_at, const std::string& target) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in at = AddressOf(listen_at);
  if (bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(listener, kBacklog) != 0)
    std::exit(2);
  while (true) {
    const int client = accept(listener, nullptr, nullptr);
    if (client < 0) continue;
    std::thread(Serve, client, AddressOf(target)).detach();
  }
}

}  // namespace review
