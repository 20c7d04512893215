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

// HTTP server of a stand-in, with the faults that all of them share. They are
// set by POST /fault with any of {"down":bool, "silent":bool, "slow_ms":N,
// "cut_hosts":["HOST"...], "drop":bool}; a caller names its host in X-Host.
//   down       every call is refused with 503
//   silent     no call is answered
//   slow_ms    answers come this much later
//   cut_hosts  calls of these hosts are refused, or not answered with "drop"
class StandinServer {
 public:
  using Handler = std::function<void(HttpServerRequest)>;
  // Takes the body of POST /fault; returns whether it was understood.
  using FaultHandler = std::function<bool(const std::string&)>;

  explicit StandinServer(HttpServerOptions options);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  Status Start(Handler handler, FaultHandler on_fault);
  // Answers after `delay` and the time of the slow_ms fault.
  void Respond(std::uint64_t id, HttpServerResponse reply,
               Duration delay = Duration(0));
  // Leaves a call without an answer; its connection is closed much later.
  void LeaveUnanswered(std::uint64_t id);
  // Sets faults as POST /fault does.
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
