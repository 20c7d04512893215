#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"

namespace chivewing {

// A listening TCP socket and the port that it got.
struct ListenSocket {
  int fd = -1;
  std::uint16_t port = 0;
};

// Opens a listening socket at "IP:PORT"; port 0 takes a free one. Sets
// SO_REUSEADDR, so that a restart binds at once, and never SO_REUSEPORT, so
// that two live processes cannot share a port. Fails with kAddressInUse or,
// when the address is malformed or not of this machine, kBadSettings.
Result<ListenSocket> OpenListenSocket(const std::string& address);

}  // namespace chivewing
