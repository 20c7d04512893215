#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "base/result.h"

namespace chivewing {

// Owns a file descriptor and closes it on destruction.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  ~UniqueFd();
  UniqueFd(UniqueFd&& other) noexcept;
  UniqueFd& operator=(UniqueFd&& other) noexcept;
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;

  int get() const { return fd_; }

 private:
  int fd_ = -1;
};

// Parses an IPv4 address and port such as "1.2.3.4:7000"; kBadSettings if
// malformed.
Result<sockaddr_in> ParseSocketAddress(const std::string& address);

// Opens a non-blocking listener. Returns kAddressInUse if another listener uses
// the address.
Result<UniqueFd> ListenOn(const std::string& address);

// Starts a non-blocking connection, which may still be in progress on return.
Result<UniqueFd> ConnectTo(const std::string& address);

// Accepts the next pending connection; the descriptor is negative if there is
// none.
UniqueFd AcceptFrom(const UniqueFd& listener);

// Whether a connection that was in progress has been established.
bool IsConnected(const UniqueFd& connection);

std::uint16_t BoundPort(const UniqueFd& listener);

}  // namespace chivewing
