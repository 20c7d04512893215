#include "lease/lease_manager.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <set>

#include "outcome/in_memory_table.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr std::size_t kHosts = 3;
const ZoneId kZone("z");
const TimePoint kStart(std::chrono::hours(1));

struct LeaseCase {
  const char* name;
  LeaseFaultInjection faults;
};

// Entry hosts that contend for the placer lease over a faulty table, each with
// a clock of its own speed; killed, replaced and paused.
class LeaseWorld {
 public:
  explicit LeaseWorld(LeaseCase options) : options_(options) {
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
    std::unique_ptr<LeaseManager> holder;
    std::optional<TableTransaction> batch;
  };

  void Fail(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }
  // The host's clock: it runs up to 2 % fast or slow.
  TimePoint Clock(const Process& process) const {
    const auto drift = 1 - static_cast<std::int64_t>(process.host);
    return kStart + elapsed_ + elapsed_ * drift / 50;
  }
  bool Works(const Process& process) const {
    return process.alive && !process.paused;
  }

  void Start(std::size_t host) {
    LeaseSettings settings;
    settings.host = HostId("h" + std::to_string(host));
    settings.zone = kZone;
    settings.incarnation = processes_.size() + 1;
    Process process;
    process.host = host;
    process.holder = std::make_unique<LeaseManager>(Clock(process), settings,
                                                    options_.faults);
    process.holder->set_rank(host);
    processes_.push_back(std::move(process));
    current_[host] = processes_.size() - 1;
  }

  void Step(std::uint8_t kind, std::uint8_t arg) {
    const std::size_t index = current_[arg % kHosts];
    Process& process = processes_[index];
    LeaseManager::Effects out;
    if (kind < 5) {
      link_.Step(table_, arg);
      Watch();
    } else if (kind < 9) {
      elapsed_ += milliseconds(arg * arg / 64);
      TickAll();
    } else if (kind < 11) {
      if (Works(process)) Batch(index);
    } else if (kind == 11 && arg < 64) {
      process.alive = false;
      Start(process.host);
    } else if (kind == 12) {
      process.paused = !process.paused;
    } else if (kind == 13 && Works(process) && !history_.empty()) {
      process.holder->OnRow(Clock(process), history_[arg % history_.size()],
                            out);
    } else if (kind == 14 && Works(process) && arg > 200) {
      process.holder->Stop(Clock(process), out);
    }
    Carry(index, out);
    CheckOneHolder();
  }

  // A placer's transaction: writes the epoch to a task row.
  void Batch(std::size_t index) {
    Process& process = processes_[index];
    if (process.batch) return;
    const std::string id = "batch-" + std::to_string(next_batch_++);
    const auto guard =
        process.holder->BeginFencedTransaction(Clock(process), id);
    if (!guard) return;
    const TableRow task = table_.Row("task");
    process.batch = TableTransaction{
        id,
        {guard->condition, {task.key, task.version}},
        {guard->write, {task.key, std::to_string(process.holder->epoch())}}};
    link_.Send(index, *process.batch);
  }
  void OnAnswer(std::size_t index, const std::string& write_id,
                const CommitResponse& answer) {
    Process& process = processes_[index];
    if (!process.alive) return;
    const bool definite = answer.status == CommitStatus::kCommitted ||
                          answer.status == CommitStatus::kConflict;
    if (process.batch && process.batch->write_id == write_id) {
      if (!definite) {
        link_.Send(index, *process.batch);
        return;
      }
      process.batch.reset();
    }
    LeaseManager::Effects out;
    process.holder->OnCommit(Clock(process), write_id, answer, out);
    Carry(index, out);
  }
  void TickAll() {
    link_.Deliver();
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (!Works(processes_[i])) continue;
      LeaseManager::Effects out;
      processes_[i].holder->Tick(Clock(processes_[i]), out);
      Carry(i, out);
    }
  }
  void Carry(std::size_t index, const LeaseManager::Effects& effects) {
    for (const LeaseEffect& effect : effects) {
      if (const auto* commit = std::get_if<CommitLease>(&effect)) {
        link_.Send(index, commit->transaction);
      } else if (const auto* taken = std::get_if<LeaseAcquired>(&effect)) {
        ++takings_;
        if (!epochs_.insert(taken->epoch).second) Fail("epoch taken twice");
      }
    }
  }

  // Follows the table: rows of the lease, and that no overtaken placer commits.
  void Watch() {
    const TableRow lease = table_.Row(LeaseManager::RowKey(kZone));
    if (lease.version > 0) history_.push_back(lease);
    const TableRow task = table_.Row("task");
    const std::uint64_t epoch = task.value ? std::stoull(*task.value) : 0;
    if (epoch < task_epoch_) Fail("an overtaken placer has committed");
    task_epoch_ = epoch;
  }
  void CheckOneHolder() {
    int holders = 0;
    for (const Process& process : processes_) {
      if (!process.alive) continue;
      if (process.holder->IsHeld(Clock(process))) ++holders;
    }
    if (holders > 1) Fail("held by two hosts");
  }

  // All faults end: one host must hold the lease, and go on holding it.
  void Settle() {
    for (std::size_t host = 0; host < kHosts; ++host) {
      Process& process = processes_[current_[host]];
      process.paused = false;
      process.alive = false;
      if (host > 0) Start(host);
    }
    for (int round = 0; round < 100; ++round) {
      if (round == 60) takings_ = 0;
      elapsed_ += milliseconds(200);
      TickAll();
      for (const auto& [host, index] : current_) {
        if (Works(processes_[index])) Batch(index);
      }
      link_.Drain(table_);
      Watch();
      CheckOneHolder();
    }
    int holders = 0;
    for (const Process& process : processes_) {
      if (process.alive && process.holder->IsHeld(Clock(process))) ++holders;
    }
    if (holders != 1) Fail("nobody holds the lease");
    if (takings_ > 0) Fail("the lease wanders");
  }

  LeaseCase options_;
  Duration elapsed_{0};
  InMemoryTable table_;
  UnreliableTableChannel link_{
      [this](std::size_t process) { return processes_[process].paused; },
      [this](std::size_t process, const std::string& write_id,
             const CommitResponse& answer) {
        OnAnswer(process, write_id, answer);
      }};
  std::vector<Process> processes_;
  std::map<std::size_t, std::size_t> current_;  // process by host
  std::vector<TableRow> history_;
  std::set<std::uint64_t> epochs_;
  std::uint64_t task_epoch_ = 0;
  int next_batch_ = 0;
  int takings_ = 0;
  std::string violation_;
};

RC_GTEST_PROP(LeaseManager, OneHostHoldsIt, ()) {
  const auto schedule = *rc::gen::resize(400, rc::gen::arbitrary<Schedule>());
  RC_ASSERT(LeaseWorld({"", {}}).Run(schedule) == "");
}

TEST(LeaseManagerSchedules, HoldWithAllMechanisms) {
  EXPECT_EQ(CountViolations<LeaseWorld>(LeaseCase{"", {}}, 300), 0);
}

class LeaseFaultTest : public testing::TestWithParam<LeaseCase> {};

TEST_P(LeaseFaultTest, IsFoundWithTheMechanismOff) {
  EXPECT_GT(CountViolations<LeaseWorld>(GetParam(), 300), 0);
}

INSTANTIATE_TEST_SUITE_P(Mechanisms, LeaseFaultTest,
                         testing::Values(LeaseCase{"count_from_answer", {true}},
                                         LeaseCase{"keep_epoch", {false, true}},
                                         LeaseCase{"ignore_time",
                                                   {false, false, true}}),
                         [](const auto& each) { return each.param.name; });

// A holder with a slow clock hears nothing more; one with a fast clock waits.
// Returns whether at some time both held the lease.
bool Overlaps(Duration margin) {
  InMemoryTable table;
  const auto make = [margin](const char* host) {
    LeaseSettings settings;
    settings.host = HostId(host);
    settings.zone = kZone;
    settings.clock_drift_margin = margin;
    return LeaseManager(kStart, settings);
  };
  LeaseManager slow = make("slow");
  LeaseManager fast = make("fast");
  const auto tick = [&table](LeaseManager& holder, TimePoint now) {
    LeaseManager::Effects out;
    holder.Tick(now, out);
    for (std::size_t i = 0; i < out.size(); ++i) {
      if (const auto* commit = std::get_if<CommitLease>(&out[i])) {
        const TableTransaction transaction = commit->transaction;
        holder.OnCommit(now, transaction.write_id, table.Commit(transaction),
                        out);
      }
    }
  };
  tick(slow, kStart);
  bool overlap = false;
  for (Duration at{0}; at < seconds(5); at += milliseconds(10)) {
    tick(fast, kStart + at + at / 50);
    const bool both = slow.IsHeld(kStart + at - at / 50) &&
                      fast.IsHeld(kStart + at + at / 50);
    overlap = overlap || both;
  }
  EXPECT_EQ(fast.epoch(), 2U);
  return overlap;
}

TEST(LeaseManagerMargin, KeepsUnlikeClocksApart) {
  EXPECT_FALSE(Overlaps(milliseconds(200)));
  EXPECT_TRUE(Overlaps(Duration(0)));
}

// The holder could not renew while the table was away; it gets its chance
// before another host takes the lease.
TEST(LeaseManagerOutage, TheHolderMayRenewFirstWhenTheTableIsBack) {
  LeaseSettings settings;
  settings.host = HostId("h1");
  settings.zone = kZone;
  settings.incarnation = 1;
  LeaseManager waiting(kStart, settings);
  LeaseManager::Effects out;
  const LeaseRow row{HostId("h0"), 1, 1, settings.lease, 1};
  waiting.OnRow(
      kStart, {LeaseManager::RowKey(kZone), EncodeLeaseRow(row), 1, "w"}, out);
  const TimePoint back = kStart + settings.lease + seconds(5);
  waiting.set_table_available_since(std::nullopt);
  waiting.Tick(back - milliseconds(10), out);
  EXPECT_TRUE(out.empty()) << "nothing is begun while the table is silent";
  waiting.set_table_available_since(back);
  waiting.Tick(back + milliseconds(10), out);
  EXPECT_TRUE(out.empty());
  waiting.Tick(back + settings.lease + settings.clock_drift_margin, out);
  EXPECT_EQ(out.size(), 1U);
}

// The table is so slow that the usual lease is over when its commit is
// answered.
TEST(LeaseManagerOutage, ASlowTableDoesNotKeepTheLeaseFromBeingTaken) {
  LeaseSettings settings;
  settings.host = HostId("h1");
  settings.zone = kZone;
  settings.lease = milliseconds(600);
  settings.max_lease_duration = seconds(3);
  settings.clock_drift_margin = milliseconds(100);
  LeaseManager holder(kStart, settings);
  LeaseManager::Effects out;
  TimePoint now = kStart + seconds(1);
  std::uint64_t version = 0;
  std::uint64_t epoch = 0;
  for (int i = 0; i < 20; ++i) {
    holder.Tick(now, out);
    const LeaseManager::Effects effects = std::exchange(out, {});
    now += milliseconds(700);
    for (const LeaseEffect& effect : effects) {
      const auto* const commit = std::get_if<CommitLease>(&effect);
      if (commit == nullptr) continue;
      CommitResponse answer;
      answer.status = CommitStatus::kCommitted;
      answer.revision = ++version;
      holder.OnCommit(now, commit->transaction.write_id, answer, out);
    }
    EXPECT_TRUE(holder.IsHeld(now)) << "round " << i;
    if (epoch == 0) epoch = holder.epoch();
    EXPECT_EQ(holder.epoch(), epoch);
  }
}

TEST(LeaseManagerGiveUp, TheLeaseIsTakenWithAHigherEpoch) {
  LeaseSettings settings;
  settings.host = HostId("h1");
  settings.zone = kZone;
  LeaseManager holder(kStart, settings);
  std::uint64_t version = 0;
  for (const std::uint64_t epoch : {1U, 2U}) {
    LeaseManager::Effects out;
    const TimePoint now = kStart + seconds(1);
    holder.Tick(now, out);
    ASSERT_FALSE(out.empty());
    const auto commit = std::get<CommitLease>(out.back());
    CommitResponse answer;
    answer.status = CommitStatus::kCommitted;
    answer.revision = ++version;
    holder.OnCommit(now, commit.transaction.write_id, answer, out);
    EXPECT_TRUE(holder.IsHeld(now));
    EXPECT_EQ(holder.epoch(), epoch);
    holder.Relinquish(out);
    EXPECT_FALSE(holder.IsHeld(now));
  }
}

TEST(LeaseManagerStop, ReleasedLeaseIsTakenAtOnce) {
  InMemoryTable table;
  LeaseSettings settings;
  settings.host = HostId("a");
  settings.zone = kZone;
  LeaseManager a(kStart, settings);
  settings.host = HostId("b");
  LeaseManager b(kStart, settings);
  LeaseManager::Effects out;
  const auto commit = [&](LeaseManager& holder) {
    const TableTransaction sent = std::get<CommitLease>(out.back()).transaction;
    out.clear();
    holder.OnCommit(kStart, sent.write_id, table.Commit(sent), out);
  };
  a.Tick(kStart, out);
  commit(a);
  EXPECT_TRUE(a.IsHeld(kStart));
  a.Stop(kStart, out);
  EXPECT_FALSE(a.IsHeld(kStart));
  commit(a);
  EXPECT_TRUE(a.IsStopped());
  b.OnRow(kStart, table.Row(LeaseManager::RowKey(kZone)), out);
  b.Tick(kStart, out);
  commit(b);
  EXPECT_TRUE(b.IsHeld(kStart));
  EXPECT_EQ(b.epoch(), 2U);
}

}  // namespace
}  // namespace chivewing
