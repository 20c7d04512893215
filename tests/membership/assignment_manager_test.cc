#include "membership/assignment_manager.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <set>

#include "outcome/in_memory_table.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr std::size_t kHosts = 4;
constexpr std::size_t kInstances = 7;
const ZoneId kZone("z");
const EntryName kEntry("desk");
constexpr Duration kLag = seconds(3);

InstanceId Instance(std::size_t index) {
  return InstanceId("i" + std::to_string(index));
}

// Simulates entry hosts of a zone that share its instances, over an unreliable
// table channel and with a lagging host list. Processes are killed, replaced,
// paused, disconnected and stopped.
class AssignmentSimulation {
 public:
  explicit AssignmentSimulation(AssignmentFaultInjection faults)
      : faults_(faults) {
    for (std::size_t host = 0; host < kHosts; ++host) Start(host);
  }

  // Returns the first violation, or an empty string.
  std::string Run(const Schedule& schedule) {
    for (const auto& [kind, arg] : schedule) Step(kind % 16, arg);
    CheckRecovery();
    return violation_;
  }

 private:
  struct Process {
    std::size_t host = 0;
    bool alive = true;
    bool paused = false;
    std::unique_ptr<AssignmentManager> manager;
    std::set<InstanceId> active;                // that it may send requests to
    std::map<InstanceId, std::size_t> running;  // its requests
  };

  static HostId Name(std::size_t host) {
    return HostId("h" + std::to_string(host));
  }
  void Fail(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }

  void Start(std::size_t host) {
    AssignmentManagerSettings settings;
    settings.host = Name(host);
    settings.zone = kZone;
    settings.incarnation = processes_.size() + 1;
    settings.max_batch_rows = 3;
    settings.takeover_hold = seconds(10);
    Process process;
    process.host = host;
    process.manager = std::make_unique<AssignmentManager>(settings, faults_);
    for (std::size_t i = 0; i < kInstances; ++i) {
      process.manager->AddInstance(now_, Instance(i), kEntry);
    }
    process.manager->SetInitialRowsRead();
    processes_.push_back(std::move(process));
    current_[host] = processes_.size() - 1;
    host_state_changes_[host].emplace_back(now_, true);
    for (std::size_t other = 0; other < kHosts; ++other) {
      SetLink(host, other, true);
    }
  }
  bool IsAlive(std::size_t host) const {
    return processes_[current_.at(host)].alive;
  }
  void SetLink(std::size_t a, std::size_t b, bool up) {
    if (a == b || current_.count(a) + current_.count(b) < 2) return;
    SetPeerUp(a, b, up && IsAlive(b));
    SetPeerUp(b, a, up && IsAlive(a));
  }
  void SetPeerUp(std::size_t viewer, std::size_t seen, bool up) {
    HostDirectory& directory =
        processes_[current_[viewer]].manager->directory();
    if (up) {
      directory.OnPeerUp(Name(seen), kZone, current_[seen] + 1);
    } else {
      directory.OnPeerDown(Name(seen));
    }
  }

  void Step(std::uint8_t kind, std::uint8_t arg) {
    const std::size_t host = arg % kHosts;
    const std::size_t index = current_[host];
    Process& process = processes_[index];
    AssignmentManager::Effects out;
    if (kind < 3) {
      channel_.Step(table_, arg);
      RecordRowHistory();
    } else if (kind < 6) {
      now_ += milliseconds(arg * arg / 32);
      TickAll();
    } else if (kind < 8) {
      DeliverRecordedRow(process, arg, out);
    } else if (kind < 10) {
      StartRequest(process, arg);
    } else if (kind == 10) {
      FinishAll(index);
    } else if (kind == 11 && arg < 96) {
      Kill(index);
    } else if (kind == 12 && !process.alive) {
      Start(host);
    } else if (kind == 13) {
      process.paused = !process.paused;
    } else if (kind == 14) {
      SetLink(host, (host + 1) % kHosts, arg > 96);
      const bool works = process.alive && !process.paused;
      if (arg > 200 && works) process.manager->Stop(now_, out);
    } else if (process.alive && !process.paused) {
      DeliverHostList(process, kLag * (arg % 4) / 3);
    }
    // Start() may reallocate processes_: `process` is invalid from here on.
    if (processes_[index].alive && !processes_[index].paused)
      ApplyEffects(index, out);
    CheckExclusiveUse();
  }

  void OnResponse(std::size_t process, const std::string& write_id,
                  const CommitResponse& response) {
    if (!processes_[process].alive) return;
    AssignmentManager::Effects out;
    processes_[process].manager->OnCommit(now_, write_id, response, out);
    ApplyEffects(process, out);
  }
  void RecordRowHistory() {
    for (const auto& [key, row] : table_.rows()) {
      if (row.version > recorded_revision_) row_history_.push_back(row);
    }
    for (const TableRow& row : row_history_) {
      recorded_revision_ = std::max(recorded_revision_, row.version);
    }
  }
  // Passes a recorded version of a row, possibly an old one, to a process.
  void DeliverRecordedRow(Process& process, std::uint8_t arg,
                          AssignmentManager::Effects& out) {
    if (row_history_.empty() || !process.alive || process.paused) return;
    process.manager->OnAssignmentRow(
        now_, row_history_[row_history_.size() - 1 - arg % row_history_.size()],
        out);
  }
  void StartRequest(Process& process, std::uint8_t arg) {
    if (process.active.empty() || !process.alive || process.paused) return;
    auto each = process.active.begin();
    std::advance(each, arg % process.active.size());
    ++process.running[*each];
  }
  void FinishAll(std::size_t index) {
    Process& process = processes_[index];
    if (!process.alive || process.paused) return;
    process.running.clear();
    AssignmentManager::Effects out;
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (process.active.count(Instance(i)) > 0) continue;
      process.manager->OnDrained(now_, Instance(i), out);
    }
    ApplyEffects(index, out);
  }
  void Kill(std::size_t index) {
    Process& process = processes_[index];
    if (!process.alive) return;
    process.alive = false;
    host_state_changes_[process.host].emplace_back(now_, false);
    for (const auto& [instance, count] : process.running) {
      orphaned_requests_[instance] += count;
    }
  }
  // Passes the platform's host list as it was `age` ago, requested now.
  void DeliverHostList(Process& process, Duration age) {
    HostList list{kLag, {}};
    for (std::size_t host = 0; host < kHosts; ++host) {
      bool up = true;
      for (const auto& [at, is_up] : host_state_changes_[host]) {
        if (at <= now_ - age) up = is_up;
      }
      list.hosts.push_back({Name(host), kZone, "",
                            up ? HostListState::kLive : HostListState::kGone});
    }
    process.manager->directory().OnHostList(now_, list);
  }
  void TickAll() {
    channel_.Deliver();
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (!processes_[i].alive || processes_[i].paused) continue;
      AssignmentManager::Effects out;
      processes_[i].manager->Tick(now_, out);
      ApplyEffects(i, out);
    }
  }

  void ApplyEffects(std::size_t process,
                    const AssignmentManager::Effects& effects) {
    for (const AssignmentEffect& effect : effects) {
      std::visit([&](const auto& each) { ApplyEffect(process, each); }, effect);
    }
  }
  void ApplyEffect(std::size_t process, const CommitAssignments& effect) {
    ++commits_;
    channel_.Send(process, effect.transaction);
  }
  void ApplyEffect(std::size_t index, const AssignmentAcquired& effect) {
    Process& process = processes_[index];
    process.active.insert(effect.instance);
    if (effect.epoch <= epochs_[effect.instance]) Fail("epoch not raised");
    epochs_[effect.instance] = effect.epoch;
    const std::size_t orphans =
        std::exchange(orphaned_requests_[effect.instance], 0);
    if (orphans > 0 && !effect.slots_unconfirmed)
      Fail("unconfirmed slots reported as free");
    if (orphans > 0) process.running[effect.instance] += orphans;
  }
  void ApplyEffect(std::size_t index, const AssignmentLost& effect) {
    processes_[index].active.erase(effect.instance);
  }
  void ApplyEffect(std::size_t index, const DrainInstance& effect) {
    processes_[index].active.erase(effect.instance);
  }

  // No instance may be usable or in use by two live processes, including paused
  // ones.
  void CheckExclusiveUse() {
    std::set<InstanceId> in_use;
    for (const Process& process : processes_) {
      if (!process.alive) continue;
      std::set<InstanceId> used = process.active;
      for (const auto& [instance, count] : process.running) {
        used.insert(instance);
      }
      for (const InstanceId& instance : used) {
        if (!in_use.insert(instance).second) Fail("used by two hosts");
      }
    }
  }

  // Without further faults, the instances must be spread evenly over the live
  // hosts and then stay where they are.
  void CheckRecovery() {
    for (Process& process : processes_) process.paused = false;
    Kill(current_[0]);  // at least one host must not be stopping
    Start(0);
    for (int round = 0; round < 160; ++round) {
      if (round == 120) commits_ = 0;
      now_ += milliseconds(500);
      for (std::size_t a = 0; a < kHosts; ++a) {
        for (std::size_t b = 0; b < a; ++b) SetLink(a, b, true);
      }
      TickAll();
      channel_.Drain(table_);
      for (const auto& [host, index] : current_) RecoverProcess(index);
      CheckExclusiveUse();
    }
    CheckEvenSpread();
    if (commits_ > 0) Fail("assignments keep changing");
  }
  void RecoverProcess(std::size_t index) {
    Process& process = processes_[index];
    if (!process.alive) return;
    FinishAll(index);
    DeliverHostList(process, Duration(0));
    AssignmentManager::Effects out;
    for (const auto& [key, row] : table_.rows()) {
      process.manager->OnAssignmentRow(now_, row, out);
    }
    ApplyEffects(index, out);
    if (process.manager->IsStopped()) Kill(index);
  }
  void CheckEvenSpread() {
    std::size_t live = 0;
    std::size_t held = 0;
    for (const Process& process : processes_) {
      if (process.alive) ++live;
    }
    for (const Process& process : processes_) {
      if (!process.alive) continue;
      held += process.active.size();
      const std::size_t least = kInstances / live;
      const std::size_t has = process.active.size();
      if (has < least || has > least + 1) Fail("not spread evenly");
    }
    if (held != kInstances) Fail("an instance is unassigned");
  }

  AssignmentFaultInjection faults_;
  TimePoint now_{std::chrono::hours(1)};
  InMemoryTable table_;
  UnreliableTableChannel channel_{
      [this](std::size_t process) { return processes_[process].paused; },
      [this](std::size_t process, const std::string& write_id,
             const CommitResponse& response) {
        OnResponse(process, write_id, response);
      }};
  std::vector<Process> processes_;
  std::map<std::size_t, std::size_t> current_;  // process by host
  std::map<std::size_t, std::vector<std::pair<TimePoint, bool>>>
      host_state_changes_;
  std::vector<TableRow> row_history_;
  std::uint64_t recorded_revision_ = 0;
  std::map<InstanceId, std::size_t>
      orphaned_requests_;  // requests of killed processes
  std::map<InstanceId, std::uint64_t> epochs_;
  int commits_ = 0;
  std::string violation_;
};

RC_GTEST_PROP(AssignmentManager, InstancesAreUsedByOneHostAndSpreadEvenly, ()) {
  const auto schedule = *rc::gen::resize(400, rc::gen::arbitrary<Schedule>());
  RC_ASSERT(AssignmentSimulation({}).Run(schedule) == "");
}

TEST(AssignmentManagerSchedules, HoldWithAllMechanisms) {
  EXPECT_EQ(
      CountViolations<AssignmentSimulation>(AssignmentFaultInjection{}, 100),
      0);
}

struct FaultCase {
  const char* name;
  AssignmentFaultInjection faults;
};
class AssignmentManagerFaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(AssignmentManagerFaultTest, IsFoundWithTheMechanismOff) {
  EXPECT_GT(CountViolations<AssignmentSimulation>(GetParam().faults, 100), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, AssignmentManagerFaultTest,
    testing::Values(FaultCase{"take_from_silent", {true}},
                    FaultCase{"release_undrained", {false, true}},
                    FaultCase{"ignore_list_age", {false, false, true}}),
    [](const auto& each) { return each.param.name; });

}  // namespace
}  // namespace chivewing
