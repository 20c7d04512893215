#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>

#include "base/result.h"
#include "http/http_server.h"
#include "standins/timer_thread.h"

namespace chivewing {

// HTTP server of a stand-in with the faults common to all stand-ins. POST
// /fault sets any of {"down":bool, "silent":bool, "slow_ms":N,
// "cut_hosts":["HOST"...], "drop":bool}. Clients name their host in X-Host.
//   down       every request is refused with status 503
//   silent     no request gets a response
//   slow_ms    every response is delayed by this time
//   cut_hosts  requests from these hosts are refused with status 503
//   drop       requests from cut_hosts get no response instead of 503
// Handlers run on the threads of the HTTP server.
class StandinServer {
 public:
  using Handler = std::function<void(HttpServerRequest)>;
  // Receives the body of POST /fault; returns whether it is valid.
  using FaultHandler = std::function<bool(const std::string&)>;

  explicit StandinServer(HttpServerOptions options);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  Status Start(Handler handler, FaultHandler on_fault);
  // Responds after `delay` plus the delay of the slow_ms fault.
  void Respond(std::uint64_t id, HttpServerResponse reply,
               Duration delay = Duration(0));
  // Sends no response; the connection is closed 20 s later.
  void LeaveUnanswered(std::uint64_t id);
  // Sets faults from JSON as POST /fault does; false if it is invalid.
  bool InjectFaults(const std::string& json);
  void Stop();

  TimerThread& timer() { return timer_; }
  std::uint16_t port() const { return server_.port(); }
  std::string address() const;
  HttpServerCounters counts() const { return server_.counts(); }

 private:
  enum class FaultAction { kPass, kRefuse, kLeaveUnanswered };

  void OnCall(HttpServerRequest call);
  FaultAction ChooseFaultAction(const HttpServerRequest& call);

  std::string ip_;
  HttpServer server_;
  Handler handler_;
  FaultHandler on_fault_;
  std::mutex mutex_;
  std::set<std::string, std::less<>> cut_hosts_;
  bool down_ = false;
  bool silent_ = false;
  bool drop_ = false;
  std::atomic<std::chrono::milliseconds> slow_{std::chrono::milliseconds(0)};
  TimerThread timer_;
};

}  // namespace chivewing
