#include "standins/silencing_proxy.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>

#include "http/listen_socket.h"
#include "standins/loopback_socket.h"

namespace chivewing {
namespace {

// How often a thread looks whether the proxy stops or its connection is silent.
constexpr int kPollMilliseconds = 5;
constexpr std::size_t kBlockBytes = 65536;

// Passes on what can be read. Returns false once either side has closed.
bool PassOn(int from, int to) {
  std::array<char, kBlockBytes> block{};
  const ssize_t count = read(from, block.data(), block.size());
  if (count <= 0) return false;
  ssize_t sent = 0;
  while (sent < count) {
    const ssize_t part =
        send(to, block.data() + sent, static_cast<std::size_t>(count - sent),
             MSG_NOSIGNAL);
    if (part <= 0) return false;
    sent += part;
  }
  return true;
}

}  // namespace

SilencingProxy::SilencingProxy(std::uint16_t backend_port)
    : backend_port_(backend_port) {
  const Result<ListenSocket> socket = OpenListenSocket("127.0.0.1:0");
  if (!socket) std::abort();
  listen_fd_ = socket.value().fd;
  port_ = socket.value().port;
  acceptor_ = std::thread([this] { Accept(); });
}

SilencingProxy::~SilencingProxy() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& forwarder : forwarders_) forwarder.join();
  close(listen_fd_);
}

void SilencingProxy::Accept() {
  while (!stopping_) {
    pollfd ready{.fd = listen_fd_, .events = POLLIN, .revents = 0};
    if (poll(&ready, 1, kPollMilliseconds) <= 0) continue;
    const int fd = accept(listen_fd_, nullptr, nullptr);
    if (fd < 0) continue;
    ++connections_;
    forwarders_.emplace_back([this, fd, generation = generation_.load()] {
      Forward(fd, generation);
    });
  }
}

void SilencingProxy::Forward(int caller_fd, std::uint64_t generation) {
  const int backend_fd = ConnectTo(backend_port_);
  std::array<pollfd, 2> ends{{{caller_fd, POLLIN, 0}, {backend_fd, POLLIN, 0}}};
  bool open = backend_fd >= 0;
  while (open && !stopping_) {
    const int ready = poll(ends.data(), ends.size(), kPollMilliseconds);
    const bool silent = generation != generation_;
    if (silent) {
      // Nothing is read any more, so that neither side learns of the other.
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMilliseconds));
      continue;
    }
    if (ready <= 0) continue;
    if (ends[0].revents != 0) open = PassOn(caller_fd, backend_fd);
    if (open && ends[1].revents != 0) open = PassOn(backend_fd, caller_fd);
  }
  close(caller_fd);
  if (backend_fd >= 0) close(backend_fd);
}

}  // namespace chivewing
