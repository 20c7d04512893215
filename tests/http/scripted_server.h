#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace chivewing {

// Test server whose handler writes raw bytes to the connection. Serves one
// connection at a time and counts connections and the requests read.
class ScriptedServer {
 public:
  // Called after each request with the socket and the number of the request
  // (from 1). Returns true to keep the connection open.
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

}  // namespace chivewing
