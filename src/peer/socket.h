#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "base/result.h"

namespace chivewing {

// Owns a file descriptor.
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

// Reads "1.2.3.4:7000"; kBadSettings when it is nothing of the sort.
Result<sockaddr_in> ParseSocketAddress(const std::string& address);

// A non-blocking listener. Never shares its address with another live one:
// kAddressInUse.
Result<UniqueFd> ListenOn(const std::string& address);

// A non-blocking connection that is under way.
Result<UniqueFd> ConnectTo(const std::string& address);

// The next connection that waits at the listener; negative fd: none.
UniqueFd AcceptFrom(const UniqueFd& listener);

// Whether a connection under way has succeeded.
bool IsConnected(const UniqueFd& connection);

std::uint16_t BoundPort(const UniqueFd& listener);

}  // namespace chivewing
