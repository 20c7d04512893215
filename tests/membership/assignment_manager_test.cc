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

// Entry hosts of a zone that share its instances, over a faulty table and with
// a lagging list of hosts; killed, replaced, paused, cut and stopped.
class ShareWorld {
 public:
  explicit ShareWorld(AssignmentFaultInjection faults) : faults_(faults) {
    for (std::size_t host = 0; host < kHosts; ++host) Start(host);
  }

  // What went wrong, or nothing.
  std::string Run(const Schedule& schedule) {
    for (const auto& [kind, arg] : schedule) Step(kind % 16, arg);
    Settle();
    return violation_;
  }

 private:
  struct Process {
    std::size_t host = 0;
    bool alive = true;
    bool paused = false;
    std::unique_ptr<AssignmentManager> keeper;
    std::set<InstanceId> usable;                // as the process believes
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
    process.keeper = std::make_unique<AssignmentManager>(settings, faults_);
    for (std::size_t i = 0; i < kInstances; ++i) {
      process.keeper->AddInstance(now_, Instance(i), kEntry);
    }
    process.keeper->SetInitialRowsRead();
    processes_.push_back(std::move(process));
    current_[host] = processes_.size() - 1;
    changes_[host].emplace_back(now_, true);
    for (std::size_t other = 0; other < kHosts; ++other) {
      SetLink(host, other, true);
    }
  }
  bool IsAlive(std::size_t host) const {
    return processes_[current_.at(host)].alive;
  }
  void SetLink(std::size_t a, std::size_t b, bool up) {
    if (a == b || current_.count(a) + current_.count(b) < 2) return;
    SetSeen(a, b, up && IsAlive(b));
    SetSeen(b, a, up && IsAlive(a));
  }
  void SetSeen(std::size_t viewer, std::size_t seen, bool up) {
    HostDirectory& directory = processes_[current_[viewer]].keeper->directory();
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
      link_.Step(table_, arg);
      Remember();
    } else if (kind < 6) {
      now_ += milliseconds(arg * arg / 32);
      TickAll();
    } else if (kind < 8) {
      Feed(process, arg, out);
    } else if (kind < 10) {
      Use(process, arg);
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
      if (arg > 200 && works) process.keeper->Stop(now_, out);
    } else if (process.alive && !process.paused) {
      SeeList(process, kLag * (arg % 4) / 3);
    }
    // A start moves the processes: `process` is not to be used from here on.
    if (processes_[index].alive && !processes_[index].paused) Carry(index, out);
    CheckUse();
  }

  void OnAnswer(std::size_t process, const std::string& write_id,
                const CommitResponse& answer) {
    if (!processes_[process].alive) return;
    AssignmentManager::Effects out;
    processes_[process].keeper->OnCommit(now_, write_id, answer, out);
    Carry(process, out);
  }
  void Remember() {
    for (const auto& [key, row] : table_.rows()) {
      if (row.version > remembered_) history_.push_back(row);
    }
    for (const TableRow& row : history_) {
      remembered_ = std::max(remembered_, row.version);
    }
  }
  // Shows a process some version of some row, perhaps an old one.
  void Feed(Process& process, std::uint8_t arg,
            AssignmentManager::Effects& out) {
    if (history_.empty() || !process.alive || process.paused) return;
    process.keeper->OnAssignmentRow(
        now_, history_[history_.size() - 1 - arg % history_.size()], out);
  }
  void Use(Process& process, std::uint8_t arg) {
    if (process.usable.empty() || !process.alive || process.paused) return;
    auto each = process.usable.begin();
    std::advance(each, arg % process.usable.size());
    ++process.running[*each];
  }
  void FinishAll(std::size_t index) {
    Process& process = processes_[index];
    if (!process.alive || process.paused) return;
    process.running.clear();
    AssignmentManager::Effects out;
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (process.usable.count(Instance(i)) > 0) continue;
      process.keeper->OnDrained(now_, Instance(i), out);
    }
    Carry(index, out);
  }
  void Kill(std::size_t index) {
    Process& process = processes_[index];
    if (!process.alive) return;
    process.alive = false;
    changes_[process.host].emplace_back(now_, false);
    for (const auto& [instance, count] : process.running) {
      orphans_[instance] += count;
    }
  }
  // The platform's list as it was `age` ago, asked for now.
  void SeeList(Process& process, Duration age) {
    HostList list{kLag, {}};
    for (std::size_t host = 0; host < kHosts; ++host) {
      bool up = true;
      for (const auto& [at, is_up] : changes_[host]) {
        if (at <= now_ - age) up = is_up;
      }
      list.hosts.push_back({Name(host), kZone, "",
                            up ? HostListState::kLive : HostListState::kGone});
    }
    process.keeper->directory().OnHostList(now_, list);
  }
  void TickAll() {
    link_.Deliver();
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (!processes_[i].alive || processes_[i].paused) continue;
      AssignmentManager::Effects out;
      processes_[i].keeper->Tick(now_, out);
      Carry(i, out);
    }
  }

  void Carry(std::size_t process, const AssignmentManager::Effects& effects) {
    for (const AssignmentEffect& effect : effects) {
      std::visit([&](const auto& each) { On(process, each); }, effect);
    }
  }
  void On(std::size_t process, const CommitAssignments& effect) {
    ++commits_;
    link_.Send(process, effect.transaction);
  }
  void On(std::size_t index, const AssignmentAcquired& effect) {
    Process& process = processes_[index];
    process.usable.insert(effect.instance);
    if (effect.epoch <= epochs_[effect.instance]) Fail("epoch not raised");
    epochs_[effect.instance] = effect.epoch;
    const std::size_t orphans = std::exchange(orphans_[effect.instance], 0);
    if (orphans > 0 && !effect.slots_unconfirmed) Fail("slots taken for free");
    if (orphans > 0) process.running[effect.instance] += orphans;
  }
  void On(std::size_t index, const AssignmentLost& effect) {
    processes_[index].usable.erase(effect.instance);
  }
  void On(std::size_t index, const DrainInstance& effect) {
    processes_[index].usable.erase(effect.instance);
  }

  // No instance is used, or may be, by two processes, paused ones included.
  void CheckUse() {
    std::set<InstanceId> in_use;
    for (const Process& process : processes_) {
      if (!process.alive) continue;
      std::set<InstanceId> used = process.usable;
      for (const auto& [instance, count] : process.running) {
        used.insert(instance);
      }
      for (const InstanceId& instance : used) {
        if (!in_use.insert(instance).second) Fail("used by two hosts");
      }
    }
  }

  // All faults end: the shares must be spread evenly over the hosts that live,
  // and stay where they are.
  void Settle() {
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
      link_.Drain(table_);
      for (const auto& [host, index] : current_) SettleOne(index);
      CheckUse();
    }
    CheckFair();
    if (commits_ > 0) Fail("shares do not settle");
  }
  void SettleOne(std::size_t index) {
    Process& process = processes_[index];
    if (!process.alive) return;
    FinishAll(index);
    SeeList(process, Duration(0));
    AssignmentManager::Effects out;
    for (const auto& [key, row] : table_.rows()) {
      process.keeper->OnAssignmentRow(now_, row, out);
    }
    Carry(index, out);
    if (process.keeper->IsStopped()) Kill(index);
  }
  void CheckFair() {
    std::size_t live = 0;
    std::size_t held = 0;
    for (const Process& process : processes_) {
      if (process.alive) ++live;
    }
    for (const Process& process : processes_) {
      if (!process.alive) continue;
      held += process.usable.size();
      const std::size_t least = kInstances / live;
      const std::size_t has = process.usable.size();
      if (has < least || has > least + 1) Fail("not spread evenly");
    }
    if (held != kInstances) Fail("a share lies idle");
  }

  AssignmentFaultInjection faults_;
  TimePoint now_{std::chrono::hours(1)};
  InMemoryTable table_;
  UnreliableTableChannel link_{
      [this](std::size_t process) { return processes_[process].paused; },
      [this](std::size_t process, const std::string& write_id,
             const CommitResponse& answer) {
        OnAnswer(process, write_id, answer);
      }};
  std::vector<Process> processes_;
  std::map<std::size_t, std::size_t> current_;  // process by host
  std::map<std::size_t, std::vector<std::pair<TimePoint, bool>>> changes_;
  std::vector<TableRow> history_;
  std::uint64_t remembered_ = 0;
  std::map<InstanceId, std::size_t> orphans_;  // requests of killed processes
  std::map<InstanceId, std::uint64_t> epochs_;
  int commits_ = 0;
  std::string violation_;
};

RC_GTEST_PROP(AssignmentManager, ShareIsUsedByOneHostAndSpreadsEvenly, ()) {
  const auto schedule = *rc::gen::resize(400, rc::gen::arbitrary<Schedule>());
  RC_ASSERT(ShareWorld({}).Run(schedule) == "");
}

TEST(AssignmentManagerSchedules, HoldWithAllMechanisms) {
  EXPECT_EQ(CountViolations<ShareWorld>(AssignmentFaultInjection{}, 100), 0);
}

struct FaultCase {
  const char* name;
  AssignmentFaultInjection faults;
};
class AssignmentManagerFaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(AssignmentManagerFaultTest, IsFoundWithTheMechanismOff) {
  EXPECT_GT(CountViolations<ShareWorld>(GetParam().faults, 100), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, AssignmentManagerFaultTest,
    testing::Values(FaultCase{"take_from_silent", {true}},
                    FaultCase{"release_undrained", {false, true}},
                    FaultCase{"ignore_list_age", {false, false, true}}),
    [](const auto& each) { return each.param.name; });

}  // namespace
}  // namespace chivewing
