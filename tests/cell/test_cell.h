#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "cell/entry_host_process.h"
#include "http/http_client.h"
#include "standins/platform_standin.h"
#include "standins/worker_standin.h"

namespace chivewing {

struct TestCellOptions {
  int zones = 1;
  int hosts_per_zone = 3;
  int workers_per_zone = 3;
  std::chrono::milliseconds poll{200};    // interval of table polls
  std::chrono::milliseconds lease{1000};  // duration of the placer lease
  std::chrono::milliseconds task_lease{4000};
};

// A small cell on loopback: stand-ins for the platform and the workers in the
// test's process, and each entry host as a child process. Settings and logs are
// in a temporary folder that the destructor removes.
class TestCell {
 public:
  explicit TestCell(const TestCellOptions& options = {});
  ~TestCell();
  TestCell(const TestCell&) = delete;
  TestCell& operator=(const TestCell&) = delete;

  std::size_t size() const { return hosts_.size(); }
  EntryHostProcess& host(std::size_t index) {
    return *hosts_.at(index).process;
  }
  PlatformStandin& platform() { return platform_; }
  std::vector<std::unique_ptr<WorkerStandin>>& workers() { return workers_; }

  // Starts an entry host and waits until it serves operator requests.
  void StartHost(std::size_t index);
  const std::string& caller_address(std::size_t index) const {
    return hosts_.at(index).caller;
  }
  HttpResponse SendOperatorRequest(std::size_t index, const std::string& method,
                                   const std::string& path,
                                   const std::string& body);
  HttpResponse SendClientRequest(std::size_t index, const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 std::vector<HttpHeader> headers = {});
  // Sends a client request to an entry; no idempotency key if `key` is empty.
  HttpResponse Request(std::size_t index, const std::string& entry,
                       const std::string& body, const std::string& key = "");
  // Writes an entry to the catalogue. `version` is sent as the version that the
  // change is based on, 0 for a new entry.
  HttpResponse Put(std::size_t index, const std::string& entry_json,
                   std::uint64_t version = 0);
  nlohmann::json State(std::size_t index);
  // Index of the entry host that reports holding the placer lease; -1 if none
  // does.
  int Placer();

  // Number of runs by idempotency key, or else request id, over all instances.
  std::map<std::string, int> RunCounts();
  // Highest number of simultaneous requests on any one running instance.
  int MaxRunningPerInstance();
  // Starts refused because they would have exceeded a worker's capacity.
  std::uint64_t Overcommits();
  // Number of running tasks of an entry, over all workers.
  int Running(const std::string& entry);

  // Polls until the condition holds; returns false if `limit` passes first.
  static bool WaitUntil(const std::function<bool()>& condition,
                        std::chrono::milliseconds limit);

 private:
  struct Host {
    std::string name;
    std::string zone;
    std::string caller;
    std::string operators;
    std::string peers;
    std::unique_ptr<EntryHostProcess> process;
  };

  void MakeHosts(const TestCellOptions& options);
  std::string SettingsOf(const Host& host,
                         const TestCellOptions& options) const;
  std::string Write(const std::string& name, const std::string& text) const;

  std::string folder_;
  PlatformStandin platform_;
  std::vector<std::unique_ptr<WorkerStandin>> workers_;
  std::vector<Host> hosts_;
};

}  // namespace chivewing
