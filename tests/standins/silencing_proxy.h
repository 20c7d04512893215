#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chivewing {

// TCP proxy on a loopback port whose open connections can be made silent: from
// then on they deliver nothing in either direction and are not closed, while
// new ones work.
class SilencingProxy {
 public:
  // `backend_port` is a loopback port.
  explicit SilencingProxy(std::uint16_t backend_port);
  ~SilencingProxy();
  SilencingProxy(const SilencingProxy&) = delete;
  SilencingProxy& operator=(const SilencingProxy&) = delete;

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void SilenceOpenConnections() { ++generation_; }
  // Connections accepted since construction.
  std::size_t connections() const { return connections_; }

 private:
  void Accept();
  void Forward(int caller_fd, std::uint64_t generation);

  const std::uint16_t backend_port_;
  int listen_fd_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<std::size_t> connections_{0};
  // Connections of an earlier generation are silent.
  std::atomic<std::uint64_t> generation_{0};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> forwarders_;  // used by the accepting thread only
  std::thread acceptor_;
};

}  // namespace chivewing
