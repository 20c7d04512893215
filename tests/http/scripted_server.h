#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace chivewing {

// Server that does with the bytes of a connection what a test asks for. It
// serves one connection at a time and counts the requests that it read.
class ScriptedServer {
 public:
  // Called with the socket after each request was read, with the number of the
  // request (from 1); returns whether the connection is kept.
  using Behaviour = std::function<bool(int fd, std::size_t request)>;

  explicit ScriptedServer(Behaviour behaviour);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  int port() const { return port_; }
  std::size_t requests() const { return requests_; }
  std::size_t connections() const { return connections_; }

 private:
  void Serve();
  void ServeConnection(int fd);

  Behaviour behaviour_;
  int listen_fd_ = -1;
  int port_ = 0;
  std::atomic<std::size_t> requests_{0};
  std::atomic<std::size_t> connections_{0};
  std::atomic<int> open_fd_{-1};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Writes all of `text` to a socket.
void WriteAll(int fd, const std::string& text);
// Connects to a loopback port; returns the socket.
int ConnectTo(int port);
// Reads until the other end closes, or until `text` has come.
std::string ReadUntil(int fd, const std::string& text);

}  // namespace chivewing
