#include "http/listen_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>
#include <string_view>

namespace chivewing {
namespace {

constexpr int kBacklog = 1024;

std::optional<sockaddr_in> ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const std::string_view port_text =
      std::string_view(address).substr(colon + 1);
  std::uint16_t port = 0;
  const char* const end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  const std::string ip = address.substr(0, colon);
  if (inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1) return std::nullopt;
  return out;
}

Error SystemError(int number, const std::string& address) {
  const ResultCode code = number == EADDRINUSE ? ResultCode::kAddressInUse
                                               : ResultCode::kBadSettings;
  return {code, "cannot listen on " + address + ": " + std::strerror(number)};
}

// Returns 0, or the errno value of the call that failed.
int BindAndListen(int fd, const sockaddr_in& address) {
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
  if (bind(fd, generic, sizeof(address)) != 0) return errno;
  if (listen(fd, kBacklog) != 0) return errno;
  return 0;
}

std::uint16_t BoundPort(int fd) {
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(bound.sin_port);
}

}  // namespace

Result<ListenSocket> OpenListenSocket(const std::string& address) {
  const std::optional<sockaddr_in> parsed = ParseAddress(address);
  if (!parsed) {
    return Error{ResultCode::kBadSettings,
                 "listen address is not of the form IP:PORT: " + address};
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return SystemError(errno, address);
  const int failure = BindAndListen(fd, *parsed);
  if (failure != 0) {
    close(fd);
    return SystemError(failure, address);
  }
  return ListenSocket{.fd = fd, .port = BoundPort(fd)};
}

}  // namespace chivewing
