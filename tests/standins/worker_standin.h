#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/time.h"
#include "standins/standin_server.h"
#include "standins/target_standin.h"
#include "store/table.h"

namespace chivewing {

struct WorkerStandinOptions {
  std::string listen = "127.0.0.1:0";
  std::string id = "worker";
  std::string zone = "zone";
  std::string rack = "rack";
  std::int64_t processors_milli = 16000;
  std::int64_t memory_mb = 32768;
  std::int64_t accelerators = 0;
  std::chrono::milliseconds usage_lag{1000};
};

// Counts since the start of a worker stand-in.
struct WorkerCounts {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;  // by themselves
  std::uint64_t failed = 0;
  std::uint64_t stopped = 0;  // checkpointed ones included
  std::uint64_t lapsed = 0;
  // Starts that were ordered over what the worker holds, and refused.
  std::uint64_t overcommits = 0;
  std::uint64_t old_epochs = 0;   // orders refused since a newer epoch was seen
  std::uint64_t late_orders = 0;  // orders refused past their not_after_ms
};

// Stands in for a worker: runs tasks under leases, with the calls of
// docs/PROTOCOLS.md. A service task gets a TargetStandin on a free port. GET
// /counts answers WorkerCounts. Faults, over those of every stand-in:
//   fail_all       everything that is started fails at once
//   fail_later     everything that is started fails a little later
//   usage_percent  usage reported, as a share of the declared size
class WorkerStandin {
 public:
  explicit WorkerStandin(WorkerStandinOptions options = {});
  ~WorkerStandin();
  WorkerStandin(const WorkerStandin&) = delete;
  WorkerStandin& operator=(const WorkerStandin&) = delete;

  Status Start();
  void Stop();

  std::string address() const { return server_.address(); }
  const std::string& id() const { return options_.id; }
  bool SetFaults(const std::string& json) { return server_.InjectFaults(json); }
  // The entry of this worker in the platform's list.
  PlatformHost Host() const;
  // Registers with the platform at "IP:PORT"; returns whether it answered.
  bool Register(const std::string& platform) const;
  bool Unregister(const std::string& platform) const;
  WorkerCounts counts();
  // Ids of the tasks that run now.
  std::vector<std::string> running();
  // How often each request ran on the instances of this worker, ended ones
  // included.
  std::map<std::string, int> ran();
  // The instance of a running service task, or null.
  std::shared_ptr<TargetStandin> Target(const std::string& task);

 private:
  enum class State {
    kRunning,
    kDone,
    kFailed,
    kStopped,
    kCheckpointed,
    kLapsed
  };
  struct Task {
    std::int64_t processors_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    State state = State::kRunning;
    bool is_throttled = false;
    bool is_stopping = false;
    TimePoint lease_end{};
    TimePoint run_end = TimePoint::max();
    std::shared_ptr<TargetStandin> target{};
  };
  struct StartCommand;

  static std::string_view Name(State state);

  void OnCall(const HttpServerRequest& call);
  bool OnFault(const std::string& json);
  HttpServerResponse Route(const HttpServerRequest& call);
  HttpServerResponse ReplyToStart(const HttpServerRequest& call);
  HttpServerResponse ReplyToRenew(const HttpServerRequest& call);
  HttpServerResponse ReplyToStop(const HttpServerRequest& call);
  HttpServerResponse ReplyToList();
  HttpServerResponse ReplyToCounts();
  // Refuses an order when a newer epoch was seen or its not_after_ms has
  // passed, else notes its epoch.
  bool Admit(const nlohmann::json& command);
  std::string StartTask(const StartCommand& command, std::string& address);
  bool HasRoom(const StartCommand& command) const;
  bool StopTask(const std::string& id, State end);
  void Tick();
  void TickTask(Task& task, TimePoint now);
  void End(Task& task, State state);

  const WorkerStandinOptions options_;
  StandinServer server_;
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  // Targets of ended tasks, closed outside of the lock.
  std::vector<std::shared_ptr<TargetStandin>> ended_targets_;
  std::map<std::string, int> ended_ran_;  // of the targets that have ended
  std::uint64_t epoch_ = 0;
  WorkerCounts counts_;
  std::atomic<bool> fails_all_ = false;
  std::atomic<bool> fails_later_ = false;
  std::atomic<int> usage_percent_ = 100;
  TimePoint usage_time_{};  // of the usage that is reported
};

}  // namespace chivewing
