#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace chivewing {

// Which incarnation of a worker has answered over which open connection. A
// connection ends with the process at its other end, so a request that is meant
// for one incarnation, and is sent over a connection on which that incarnation
// has answered, reaches no later one. Does no I/O; thread-safe.
class IncarnationConnections {
 public:
  using Incarnation = std::chrono::milliseconds;  // its start, since 1970

  // `max_connections` are opened to one address at a time.
  explicit IncarnationConnections(std::size_t max_connections)
      : max_connections_(max_connections) {}

  // A connection to the address has been opened for a request.
  void OnOpened(const std::string& address, int local_port);
  // A request is about to be written to a connection opened for an earlier one.
  void OnReused(const std::string& address, int local_port);
  // The client has found no idle connection to the address.
  void OnNoneIdle(const std::string& address);
  // The request has ended, with a whole response if `answered`; otherwise the
  // connection is closed.
  void OnEnded(const std::string& address, int local_port, bool answered);
  // The incarnation has answered over the connection.
  void OnAnswer(const std::string& address, int local_port,
                Incarnation incarnation);
  // False if the connection may lead to another incarnation.
  bool LeadsTo(const std::string& address, int local_port,
               Incarnation incarnation) const;
  // Returns true, and counts the request as on its way, if it is likely to be
  // given a connection that leads to the incarnation: more of them are idle
  // than requests are on their way, or no further connection may be opened.
  bool Admit(const std::string& address, Incarnation incarnation);
  // An admitted request has found its connection, or has ended without one.
  void OnArrived(const std::string& address);

 private:
  struct Connection {
    int local_port = 0;
    Incarnation incarnation{0};  // 0: none has answered yet
    bool busy = false;
  };
  using Connections = std::deque<Connection>;

  Connection* Find(const std::string& address, int local_port);
  void Add(const std::string& address, Connection connection);
  void Forget(const std::string& address, int local_port);

  const std::size_t max_connections_;
  mutable std::mutex mutex_;
  // Those of an address, the one that was noted first at the front.
  std::map<std::string, Connections> connections_;
  // Admitted requests that have not found a connection yet, by address.
  std::map<std::string, std::size_t> on_their_way_;
};

}  // namespace chivewing
