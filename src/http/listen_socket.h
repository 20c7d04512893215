#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"

namespace chivewing {

// A listening TCP socket and the port that it is bound to.
struct ListenSocket {
  int fd = -1;
  std::uint16_t port = 0;
};

// Opens a listening socket on "IP:PORT"; port 0 picks a free port. Sets
// SO_REUSEADDR, so that a restarted process binds at once, and not
// SO_REUSEPORT, so that two running processes cannot share a port. Fails with
// kAddressInUse, or with kBadSettings when the address is malformed or not of
// this host.
Result<ListenSocket> OpenListenSocket(const std::string& address);

}  // namespace chivewing
