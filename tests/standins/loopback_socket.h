#pragma once

#include <string>

// Blocking sockets on the loopback interface, for tests that speak raw bytes.
namespace chivewing {

// Writes all of `text` to a socket.
void WriteAll(int fd, const std::string& text);
// Connects to a loopback port; returns the socket, or -1 on failure.
int ConnectTo(int port);
// Reads until the other end closes or `text` has been received, and returns
// what was read.
std::string ReadUntil(int fd, const std::string& text);

}  // namespace chivewing
