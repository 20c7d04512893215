#include "http/scripted_server.h"

#include <arpa/inet.h>
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
