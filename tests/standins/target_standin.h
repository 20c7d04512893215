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
  // Whether ids that ran are kept; long measurements do without.
  bool is_recording = true;
};

// Stands in for an instance of a service. POST /run takes a slot for the time
// in the header X-Work-Ms (or "work_ms=N" in the body) and answers
// {"instance","request","body"} with the request's id and body. A call beyond
// the slots is refused with 429, one while leaving with 503. GET /status is as
// in docs/PROTOCOLS.md; GET /ran answers {"ran":{ID:COUNT},"most_running",
// "most_connections","refused"}, ids being Idempotency-Key or else
// X-Request-Id. Faults, over those of every stand-in:
//   silent_open  connections open now go silent for good, new ones work
//   late_ms      answers come this much after the work has ended
//   crossed      answers carry the id and body of the request before
//   truncate     answers are cut in half
//   leaving      calls are refused since the instance is leaving
//   refuse       calls are refused as if all slots were taken
class TargetStandin {
 public:
  explicit TargetStandin(TargetStandinOptions options = {});
  ~TargetStandin();
  TargetStandin(const TargetStandin&) = delete;
  TargetStandin& operator=(const TargetStandin&) = delete;

  Status Start();
  // Ends at once; running work counts as lost.
  void Stop() { server_.Stop(); }
  void SetLeaving() { is_leaving_ = true; }

  std::string address() const { return server_.address(); }
  bool SetFaults(const std::string& json) { return server_.InjectFaults(json); }
  int running() const { return running_; }
  int most_running() const { return most_running_; }
  std::uint64_t most_connections() const;
  // How often each id ran.
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
  std::atomic<std::uint64_t> silent_up_to_ = 0;  // number of a connection
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
