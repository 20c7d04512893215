#include "peer/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/outcome/try.hpp>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace chivewing {
namespace {

constexpr int kBacklog = 128;

Error SystemError(ResultCode code, const std::string& action) {
  return Error{code, action + ": " + std::strerror(errno)};
}

const sockaddr* AsSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

UniqueFd NewSocket() {
  return UniqueFd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void SetOption(const UniqueFd& fd, int level, int option) {
  const int on = 1;
  setsockopt(fd.get(), level, option, &on, sizeof(on));
}

}  // namespace

UniqueFd::~UniqueFd() {
  if (fd_ >= 0) close(fd_);
}

UniqueFd::UniqueFd(UniqueFd&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

UniqueFd& UniqueFd::operator=(UniqueFd&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Result<sockaddr_in> ParseSocketAddress(const std::string& address) {
  const Error bad{
      ResultCode::kBadSettings,
      "malformed address, expected IPv4 address and port: " + address};
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return bad;
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  const std::string ip = address.substr(0, colon);
  if (inet_pton(AF_INET, ip.c_str(), &parsed.sin_addr) != 1) return bad;
  std::uint16_t port = 0;
  const char* const end = address.data() + address.size();
  const auto [stop, error] =
      std::from_chars(address.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) return bad;
  parsed.sin_port = htons(port);
  return parsed;
}

Result<UniqueFd> ListenOn(const std::string& address) {
  BOOST_OUTCOME_TRY(parsed, ParseSocketAddress(address));
  UniqueFd listener = NewSocket();
  if (listener.get() < 0) return SystemError(ResultCode::kInternal, "socket");
  SetOption(listener, SOL_SOCKET, SO_REUSEADDR);
  if (bind(listener.get(), AsSockaddr(parsed), sizeof(parsed)) != 0 ||
      listen(listener.get(), kBacklog) != 0) {
    const bool in_use = errno == EADDRINUSE;
    return SystemError(
        in_use ? ResultCode::kAddressInUse : ResultCode::kBadSettings,
        "cannot listen on " + address);
  }
  return listener;
}

Result<UniqueFd> ConnectTo(const std::string& address) {
  BOOST_OUTCOME_TRY(parsed, ParseSocketAddress(address));
  UniqueFd connection = NewSocket();
  if (connection.get() < 0) return SystemError(ResultCode::kInternal, "socket");
  SetOption(connection, IPPROTO_TCP, TCP_NODELAY);
  const int done =
      connect(connection.get(), AsSockaddr(parsed), sizeof(parsed));
  if (done != 0 && errno != EINPROGRESS) {
    return SystemError(ResultCode::kPeerUnreachable,
                       "cannot connect to " + address);
  }
  return connection;
}

UniqueFd AcceptFrom(const UniqueFd& listener) {
  UniqueFd connection(
      accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (connection.get() >= 0) SetOption(connection, IPPROTO_TCP, TCP_NODELAY);
  return connection;
}

bool IsConnected(const UniqueFd& connection) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(connection.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

std::uint16_t BoundPort(const UniqueFd& listener) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(listener.get(), reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

}  // namespace chivewing
