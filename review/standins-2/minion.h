#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http/http_server.h"

namespace review {

struct MinionOptions {
  std::string id;
  std::string listen;
  std::string address;  // as registered
  std::string store;
  std::string service;
  std::string zone;
  std::string rack;
  int cpu = 16000;
  int mem_mb = 32768;
  std::string log;  // file to which starts and ends are appended
};

// Stand-in for a minion, as PROTOCOL.md says: leases, fences, boots, ends. A
// task works for the milliseconds that its `spec` holds as a number; with 0 it
// lasts. Each run that works to its end ends as `done`.
class Minion {
 public:
  explicit Minion(MinionOptions options);
  // Writes the status report at the start and each heartbeatMs. Does not
  // return.
  void Report();

 private:
  using Json = nlohmann::json;
  struct Run {
    std::uint64_t number = 0;
    std::int64_t started_ms = 0;
    std::int64_t work_ms = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };
  struct Wait {
    std::int64_t until_ms = 0;
    std::uint64_t newest_end = 0;
  };

  void OnCall(const chivewing::HttpServerRequest& call);
  chivewing::HttpServerResponse Start(const Json& body);
  chivewing::HttpServerResponse Stop(const Json& body);
  chivewing::HttpServerResponse Refuse(const std::string& reason);
  chivewing::HttpServerResponse Lists();
  // These need the mutex.
  bool IsFenced(const Json& body);
  void ExtendLease(const Json& body);
  void EndRun(const std::string& task, const std::string& how);
  void Advance();
  void Log(const std::string& what, const std::string& task, std::uint64_t run);

  void Tick();
  std::int64_t ClockMs() const;

  const MinionOptions options_;
  const std::int64_t born_ms_;
  const std::int64_t boot_ms_;
  std::ofstream log_;
  std::mutex mutex_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ = 0;  // on the minion's clock
  std::map<std::string, Run> running_;
  std::map<std::string, std::uint64_t> newest_over_;  // run ended or stopped
  std::vector<End> ends_;
  std::uint64_t last_end_ = 0;
  std::map<std::uint64_t, Wait> waits_;
  chivewing::HttpServer server_;
};

}  // namespace review
