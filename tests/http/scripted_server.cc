#include "http/scripted_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "http/listen_socket.h"

namespace chivewing {
namespace {

constexpr std::string_view kEndOfHeaders = "\r\n\r\n";

// Returns the length of the first request in `bytes`, or 0 when it is
// incomplete.
std::size_t WholeRequest(const std::string& bytes) {
  const auto end = bytes.find(kEndOfHeaders);
  if (end == std::string::npos) return 0;
  std::size_t length = end + kEndOfHeaders.size();
  const auto field = bytes.find("Content-Length: ");
  if (field < end) length += std::stoul(bytes.substr(field + 16));
  return bytes.size() >= length ? length : 0;
}

}  // namespace

ScriptedServer::ScriptedServer(Behaviour behaviour)
    : behaviour_(std::move(behaviour)) {
  const ListenSocket socket = OpenListenSocket("127.0.0.1:0").value();
  listen_fd_ = socket.fd;
  port_ = socket.port;
  thread_ = std::thread([this] { Serve(); });
}

ScriptedServer::~ScriptedServer() {
  stopping_ = true;
  shutdown(listen_fd_, SHUT_RDWR);
  shutdown(open_fd_, SHUT_RDWR);
  thread_.join();
  close(listen_fd_);
}

void ScriptedServer::Serve() {
  while (!stopping_) {
    pollfd ready{.fd = listen_fd_, .events = POLLIN, .revents = 0};
    poll(&ready, 1, -1);
    const int fd = accept(listen_fd_, nullptr, nullptr);
    if (fd < 0) continue;
    ++connections_;
    open_fd_ = fd;
    if (!stopping_) ServeConnection(fd);
    open_fd_ = -1;
    close(fd);
  }
}

void ScriptedServer::ServeConnection(int fd) {
  std::string bytes;
  char block[4096];
  while (true) {
    const ssize_t count = read(fd, block, sizeof(block));
    if (count <= 0) return;
    bytes.append(block, static_cast<std::size_t>(count));
    const std::size_t length = WholeRequest(bytes);
    if (length == 0) continue;
    bytes.erase(0, length);
    if (!behaviour_(fd, ++requests_)) return;
  }
}

}  // namespace chivewing
