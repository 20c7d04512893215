#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http/http_server.h"

namespace chivewing {

// Stand-in for a worker of the platform, by the published protocol, for whole
// path tests: starts tasks under fences, lists them and their ends. A task ends
// as done when it was listed as running once. Leases are not kept.
class TaskRunnerStandin {
 public:
  explicit TaskRunnerStandin(std::string id);

  std::string address() const;
  // What it registers about itself.
  std::string Registration(const std::string& service) const;
  std::size_t starts() const;
  // Runs of one task that were going on at the same time, at most.
  std::size_t max_concurrent_runs() const;

 private:
  using RunKey = std::pair<std::string, std::uint64_t>;

  void OnCall(const HttpServerRequest& call);
  HttpServerResponse Start(const std::string& body);
  HttpServerResponse Stop(const std::string& body);
  HttpServerResponse List(const std::string& body);

  const std::string id_;
  mutable std::mutex mutex_;
  std::uint64_t fence_ = 0;
  std::map<RunKey, bool> running_;  // whether it was listed
  std::vector<std::tuple<std::uint64_t, RunKey, std::string>> ended_;
  std::uint64_t last_end_ = 0;
  std::size_t starts_ = 0;
  std::size_t max_concurrent_runs_ = 0;
  HttpServer server_;
};

}  // namespace chivewing
