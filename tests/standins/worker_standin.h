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

// Counters since the start of a worker stand-in.
struct WorkerCounts {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;  // after their run time
  std::uint64_t failed = 0;
  std::uint64_t stopped = 0;  // including checkpointed tasks
  std::uint64_t lapsed = 0;   // tasks whose lease expired
  // Starts refused because they would have exceeded the worker's capacity.
  std::uint64_t overcommits = 0;
  std::uint64_t old_epochs = 0;   // commands refused: a newer epoch was seen
  std::uint64_t late_orders = 0;  // commands refused: past not_after_ms
};

// HTTP stand-in for a worker: runs tasks under leases by the protocol of
// docs/PROTOCOLS.md. A service task runs a TargetStandin on a free port. GET
// /counts returns WorkerCounts. Faults in addition to those of StandinServer:
//   fail_all       every start fails at once
//   fail_later     every started task fails 50 ms later
//   usage_percent  reported usage as a percentage of the declared size
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
  // This worker's entry in the platform's host list.
  PlatformHost Host() const;
  // Registers with the platform at "IP:PORT"; true if the platform accepted.
  bool Register(const std::string& platform) const;
  bool Unregister(const std::string& platform) const;
  WorkerCounts counts();
  // Ids of the running tasks.
  std::vector<std::string> running();
  // Number of runs by request id on the instances of this worker, including
  // ended instances.
  std::map<std::string, int> ran();
  // The target of a running service task, or null.
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
  // False when a newer epoch was seen or the command's not_after_ms has passed;
  // otherwise records the command's epoch.
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
  // Targets of ended tasks, destroyed without holding the lock because that
  // stops their servers.
  std::vector<std::shared_ptr<TargetStandin>> ended_targets_;
  std::map<std::string, int> ended_ran_;  // run counts of ended targets
  std::uint64_t epoch_ = 0;
  WorkerCounts counts_;
  std::atomic<bool> fails_all_ = false;
  std::atomic<bool> fails_later_ = false;
  std::atomic<int> usage_percent_ = 100;
  TimePoint usage_time_{};  // when the reported usage was measured
};

}  // namespace chivewing
