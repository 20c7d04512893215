#pragma once

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

// A step of a submission with one size of task.
struct StepOf {
  std::size_t count = 1;
  int cpu = 1000;
  int mem_mb = 100;
  std::int64_t est_ms = 0;
  bool lasts = false;
};

// What a minion has logged.
struct MinionEvent {
  std::int64_t at_ms = 0;
  std::string minion;
  // start, done, stopped, lapsed, killed
  std::string what;
  std::string task;
  std::uint64_t run = 0;
};

// A small deployment on loopback addresses: the store, entry hosts with the
// command of the deploy file, and minions, each a process of its own. All of
// them end with this process.
class Cluster {
 public:
  // `folder` takes logs and settings; `record` what the clients send and get.
  Cluster(std::string program, std::string folder, std::string record);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  void StartStore();
  void StartHosts(std::size_t count);
  // With proxies each minion is reached through a process of its own, so that
  // it can be cut off while it runs on.
  void StartMinions(std::size_t count, bool with_proxies = false);
  // Stops (SIGSTOP) and continues the proxy of a minion.
  void CutMinion(std::size_t index, bool cut);
  const std::string& AddressOf(std::size_t index) const {
    return minions_[index].address;
  }
  // Another writer puts an entry under `servers/`, at each heartbeatMs.
  void KeepEntry(const std::string& key, const std::string& value);
  void KillMinion(std::size_t index);
  void StartMinion(std::size_t index);
  void KillHost(std::size_t index);
  void StartHost(std::size_t index);
  // Waits until `count` hosts report ready; false if they don't in time.
  bool AwaitReady(std::int64_t timeout_ms);
  // The host that has begun to dispatch last, by the hosts' logs.
  std::optional<std::size_t> DispatchingHost() const;
  std::vector<std::string> MinionIds() const;
  // Index of a minion that runs tasks, by the minions' logs.
  std::optional<std::size_t> BusyMinion() const;

  // Hands a submission in, as a client with retries at other hosts. True if it
  // was accepted.
  bool Submit(const std::string& id, const std::string& spec,
              const StepOf& step);
  // "" if no host gives a state.
  std::string StateOf(const std::string& id);

  // All events of the minions so far, in the order of time.
  std::vector<MinionEvent> Events() const;
  void Note(const std::string& line);
  // Ends all processes and adds the events of the minions to the record.
  void Finish();

 private:
  pid_t Spawn(const std::vector<std::string>& arguments,
              const std::string& log);
  static void Kill(pid_t& pid);
  // Running tasks of each minion, by the minions' logs.
  std::map<std::string, int> RunningTasks() const;
  std::string HostLog(std::size_t index) const;
  std::string MinionLog(std::size_t index) const;

  const std::string program_;
  const std::string folder_;
  const std::string record_path_;
  std::ofstream record_;
  std::string store_;
  pid_t store_pid_ = 0;
  struct Host {
    std::string front, ready, peer;
    pid_t pid = 0;
  };
  struct MinionProcess {
    std::string address;  // as registered
    std::string listen;
    pid_t pid = 0;
    pid_t proxy = 0;
  };
  std::vector<Host> hosts_;
  std::vector<MinionProcess> minions_;
  std::vector<MinionEvent> kills_;
  std::size_t next_host_ = 0;
  std::jthread writer_;  // the other writer
};

}  // namespace review
