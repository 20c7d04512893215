#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http/http_server.h"

namespace chivewing {

// HTTP stand-in for a worker of the platform, for end-to-end tests. Implements
// the published protocol: starts and stops runs of tasks, lists running and
// ended ones, and refuses commands with a fence lower than the highest seen. A
// run ends as done after it was listed as running once. Leases do not expire.
class TaskRunnerStandin {
 public:
  explicit TaskRunnerStandin(std::string id);

  std::string address() const;
  // JSON of the worker's registration row.
  std::string Registration(const std::string& service) const;
  std::size_t starts() const;
  // Highest number of simultaneous runs of any one task.
  std::size_t max_concurrent_runs() const;

  std::atomic<bool> runs_go_on{false};  // while set, no run ends by itself

 private:
  using RunKey = std::pair<std::string, std::uint64_t>;

  void OnCall(const HttpServerRequest& call);
  HttpServerResponse Start(const std::string& body);
  HttpServerResponse Stop(const std::string& body);
  HttpServerResponse List(const std::string& body);

  const std::string id_;
  mutable std::mutex mutex_;
  std::uint64_t fence_ = 0;
  std::map<RunKey, bool> running_;  // true: already listed as running
  std::vector<std::tuple<std::uint64_t, RunKey, std::string>> ended_;
  std::uint64_t last_end_ = 0;
  std::size_t starts_ = 0;
  std::size_t max_concurrent_runs_ = 0;
  HttpServer server_;
};

}  // namespace chivewing
