#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standins/standin_server.h"

namespace chivewing {

struct TargetStandinOptions {
  std::string listen = "127.0.0.1:0";
  std::string instance = "instance";
  int slots = 8;
  // True when the ids of requests that ran are kept for ran(). Long benchmarks
  // turn it off.
  bool is_recording = true;
};

// HTTP stand-in for a target: an instance of a service.
//   POST /run    occupies a slot for the time in the header X-Work-Ms (or
//                "work_ms=N" in the body), then returns the request's id and
//                body as {"instance","request","body"}. Refused with 429 when
//                all slots are occupied and with 503 while leaving.
//   GET /status  is as in docs/PROTOCOLS.md
//   GET /ran     returns {"ran":{ID:COUNT},"most_running","most_connections",
//                "refused"}; ID is the Idempotency-Key or else X-Request-Id
// Faults in addition to those of StandinServer:
//   silent_open  connections open now get no more responses; new ones work
//   late_ms      responses are delayed by this time after the work has ended
//   crossed      responses carry the id and body of the previous request
//   truncate     responses are truncated to half of their body
//   leaving      requests are refused because the instance is leaving
//   refuse       requests are refused as if all slots were occupied
class TargetStandin {
 public:
  explicit TargetStandin(TargetStandinOptions options = {});
  ~TargetStandin();
  TargetStandin(const TargetStandin&) = delete;
  TargetStandin& operator=(const TargetStandin&) = delete;

  Status Start();
  // Stops at once; running requests get no response.
  void Stop() { server_.Stop(); }
  void SetLeaving() { is_leaving_ = true; }

  std::string address() const { return server_.address(); }
  bool SetFaults(const std::string& json) { return server_.InjectFaults(json); }
  int running() const { return running_; }
  int most_running() const { return most_running_; }
  std::uint64_t most_connections() const;
  // Number of runs by request id.
  std::map<std::string, int> ran();

 private:
  struct Work {
    std::uint64_t call = 0;
    std::uint64_t connection = 0;
    std::string request;
    std::string body;
  };

  void OnCall(HttpServerRequest call);
  bool OnFault(const std::string& json);
  void OnRun(HttpServerRequest call);
  bool TakeSlot();
  void Record(const HttpServerRequest& call);
  void EndWork(const Work& work);
  HttpServerResponse ReplyTo(const Work& work);
  HttpServerResponse ReplyToStatus();
  HttpServerResponse ReplyToRan();

  const TargetStandinOptions options_;
  StandinServer server_;
  std::atomic<int> running_ = 0;
  std::atomic<int> most_running_ = 0;
  std::atomic<std::uint64_t> runs_ = 0;
  std::atomic<std::uint64_t> refused_ = 0;
  std::atomic<std::uint64_t> silent_up_to_ =
      0;  // number of the last silent one
  std::atomic<int> late_ms_ = 0;
  std::atomic<bool> is_crossed_ = false;
  std::atomic<bool> is_truncated_ = false;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<bool> is_refusing_ = false;
  std::mutex mutex_;
  std::map<std::string, int> ran_;
  Work last_;
};

}  // namespace chivewing
