#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/time.h"

namespace chivewing {

// Tells which open connections may be used for further requests. Connections to
// an address can go silent together, without being closed, while new ones work.
// So once a request has timed out, connections to its address count as silent
// until they deliver a response; those opened later do not. A connection is
// named by its address and its local port. No I/O.
class ConnectionTrust {
 public:
  // Connections that are idle for longer than `max_idle` are never reused, so
  // a timeout is forgotten after that time.
  explicit ConnectionTrust(Duration max_idle) : max_idle_(max_idle) {}

  // A request got no response over any connection to this address.
  void OnTimeout(TimePoint now, const std::string& address);
  // A connection has been opened or has delivered a response.
  void OnAlive(const std::string& address, int local_port);
  bool IsTrusted(TimePoint now, const std::string& address,
                 int local_port) const;
  // Addresses that are remembered for a timeout.
  std::size_t suspect_addresses() const { return suspects_.size(); }

 private:
  struct Suspect {
    TimePoint timed_out_at{};
    std::unordered_set<int> alive_ports{};  // alive since the timeout
  };

  const Duration max_idle_;
  std::unordered_map<std::string, Suspect> suspects_;  // by address
};

}  // namespace chivewing
