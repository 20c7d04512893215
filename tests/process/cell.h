#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "process/entry_process.h"
#include "standins/platform_standin.h"
#include "standins/worker_standin.h"

namespace chivewing {

struct CellOptions {
  int zones = 1;
  int hosts_per_zone = 3;
  int workers_per_zone = 3;
  std::chrono::milliseconds lease{1000};       // of the placer
  std::chrono::milliseconds task_lease{4000};  // of tasks
};

// A small cell: stand-ins for the platform and the workers in this process, and
// entry hosts as processes of their own.
class Cell {
 public:
  explicit Cell(const CellOptions& options = {});
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  std::size_t size() const { return hosts_.size(); }
  EntryProcess& host(std::size_t index) { return *hosts_.at(index).process; }
  PlatformStandin& platform() { return platform_; }
  std::vector<std::unique_ptr<WorkerStandin>>& workers() { return workers_; }

  // Starts an entry host and waits until it answers.
  void StartHost(std::size_t index);
  HttpAnswer CallOperator(std::size_t index, const std::string& method,
                          const std::string& path, const std::string& body);
  HttpAnswer CallCaller(std::size_t index, const std::string& method,
                        const std::string& path, const std::string& body,
                        std::vector<HttpHeader> headers = {});
  // Sends a request; `key` is its idempotency key, or empty.
  HttpAnswer Request(std::size_t index, const std::string& entry,
                     const std::string& body, const std::string& key = "");
  // Puts an entry in force, as version `version` of it.
  HttpAnswer Put(std::size_t index, const std::string& entry_json,
                 std::uint64_t version = 0);
  nlohmann::json State(std::size_t index);
  // Index of the entry host that holds the placer lease; -1 when none says so.
  int Placer();

  // How often each idempotency key or request ran, over all instances.
  std::map<std::string, int> Ran();
  // Most requests that ran at once on any one instance.
  int MostRunning();
  // Orders that would have put a worker over its capacity.
  std::uint64_t Overcommits();
  // Tasks of an entry that run now, over all workers.
  int Running(const std::string& entry);

  // Waits until the condition holds; false after `limit`.
  static bool WaitUntil(const std::function<bool()>& condition,
                        std::chrono::milliseconds limit);

 private:
  struct Host {
    std::string name;
    std::string zone;
    std::string caller;
    std::string operators;
    std::string peers;
    std::unique_ptr<EntryProcess> process;
  };

  void MakeHosts(const CellOptions& options);
  std::string SettingsOf(const Host& host, const CellOptions& options) const;
  std::string Write(const std::string& name, const std::string& text) const;

  std::string folder_;
  PlatformStandin platform_;
  std::vector<std::unique_ptr<WorkerStandin>> workers_;
  std::vector<Host> hosts_;
};

}  // namespace chivewing
