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
  bool separate_renewals = false;
};

// Simulates entry hosts that contend for the placer lease over an unreliable
// table channel. Their clocks run at different rates; processes are killed,
// replaced and paused.
class LeaseSimulation {
 public:
  explicit LeaseSimulation(LeaseCase options) : options_(options) {
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
    std::unique_ptr<LeaseManager> manager;
    std::optional<TableTransaction> batch;
  };

  void Fail(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }
  // The host's clock, which runs up to 2 % fast or slow.
  TimePoint Clock(const Process& process) const {
    const auto drift = 1 - static_cast<std::int64_t>(process.host);
    return kStart + elapsed_ + elapsed_ * drift / 50;
  }
  bool IsRunning(const Process& process) const {
    return process.alive && !process.paused;
  }

  void Start(std::size_t host) {
    LeaseSettings settings;
    settings.host = HostId("h" + std::to_string(host));
    settings.zone = kZone;
    settings.incarnation = processes_.size() + 1;
    settings.separate_renewals = options_.separate_renewals;
    Process process;
    process.host = host;
    process.manager = std::make_unique<LeaseManager>(Clock(process), settings,
                                                     options_.faults);
    process.manager->set_rank(host);
    processes_.push_back(std::move(process));
    current_[host] = processes_.size() - 1;
  }

  void Step(std::uint8_t kind, std::uint8_t arg) {
    const std::size_t index = current_[arg % kHosts];
    Process& process = processes_[index];
    LeaseManager::Effects out;
    if (kind < 5) {
      channel_.Step(table_, arg);
      CheckTable();
    } else if (kind < 9) {
      elapsed_ += milliseconds(arg * arg / 64);
      TickAll();
    } else if (kind < 11) {
      if (IsRunning(process)) StartFencedTransaction(index);
    } else if (kind == 11 && arg < 64) {
      process.alive = false;
      Start(process.host);
    } else if (kind == 12) {
      process.paused = !process.paused;
    } else if (kind == 13 && IsRunning(process) && !row_history_.empty()) {
      process.manager->OnRow(Clock(process),
                             row_history_[arg % row_history_.size()], out);
    } else if (kind == 14 && IsRunning(process) && arg > 200) {
      process.manager->Stop(Clock(process), out);
    }
    ApplyEffects(index, out);
    CheckSingleHolder();
  }

  // Sends a fenced transaction that writes the holder's epoch to a task row.
  void StartFencedTransaction(std::size_t index) {
    Process& process = processes_[index];
    if (process.batch) return;
    const std::string id = "batch-" + std::to_string(next_batch_++);
    const TableRow task = table_.Row("task");
    const TableWrite write{task.key, std::to_string(process.manager->epoch())};
    if (options_.separate_renewals) {
      const auto fence = process.manager->FenceCondition(Clock(process));
      if (!fence) return;
      process.batch =
          TableTransaction{id, {*fence, {task.key, task.version}}, {write}};
      channel_.Send(index, *process.batch);
      return;
    }
    const auto part =
        process.manager->BeginFencedTransaction(Clock(process), id);
    if (!part) return;
    process.batch = TableTransaction{
        id, {part->condition, {task.key, task.version}}, {part->write, write}};
    channel_.Send(index, *process.batch);
  }
  void OnResponse(std::size_t index, const std::string& write_id,
                  const CommitResponse& response) {
    Process& process = processes_[index];
    if (!process.alive) return;
    const bool definite = response.status == CommitStatus::kCommitted ||
                          response.status == CommitStatus::kConflict;
    if (process.batch && process.batch->write_id == write_id) {
      if (!definite) {
        channel_.Send(index, *process.batch);
        return;
      }
      process.batch.reset();
    }
    LeaseManager::Effects out;
    process.manager->OnCommit(Clock(process), write_id, response, out);
    ApplyEffects(index, out);
  }
  void TickAll() {
    channel_.Deliver();
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (!IsRunning(processes_[i])) continue;
      LeaseManager::Effects out;
      processes_[i].manager->Tick(Clock(processes_[i]), out);
      ApplyEffects(i, out);
    }
  }
  void ApplyEffects(std::size_t index, const LeaseManager::Effects& effects) {
    for (const LeaseEffect& effect : effects) {
      if (const auto* commit = std::get_if<CommitLease>(&effect)) {
        channel_.Send(index, commit->transaction);
      } else if (const auto* taken = std::get_if<LeaseAcquired>(&effect)) {
        ++acquisitions_;
        if (!epochs_.insert(taken->epoch).second) Fail("epoch acquired twice");
      }
    }
  }

  // Records the lease row and checks that no placer with an old epoch commits.
  void CheckTable() {
    const TableRow lease = table_.Row(LeaseManager::RowKey(kZone));
    if (lease.version > 0) row_history_.push_back(lease);
    const TableRow renewal = table_.Row(LeaseManager::RenewalRowKey(kZone));
    if (renewal.version > 0) row_history_.push_back(renewal);
    const TableRow task = table_.Row("task");
    const std::uint64_t epoch = task.value ? std::stoull(*task.value) : 0;
    if (epoch < task_epoch_) Fail("a placer with an old epoch has committed");
    task_epoch_ = epoch;
  }
  void CheckSingleHolder() {
    int holders = 0;
    for (const Process& process : processes_) {
      if (!process.alive) continue;
      if (process.manager->IsHeld(Clock(process))) ++holders;
    }
    if (holders > 1) Fail("held by two hosts");
  }

  // Without further faults, one host must acquire the lease and keep it.
  void CheckRecovery() {
    for (std::size_t host = 0; host < kHosts; ++host) {
      Process& process = processes_[current_[host]];
      process.paused = false;
      process.alive = false;
      if (host > 0) Start(host);
    }
    for (int round = 0; round < 100; ++round) {
      if (round == 60) acquisitions_ = 0;
      elapsed_ += milliseconds(200);
      TickAll();
      for (const auto& [host, index] : current_) {
        if (IsRunning(processes_[index])) StartFencedTransaction(index);
      }
      channel_.Drain(table_);
      CheckTable();
      CheckSingleHolder();
    }
    int holders = 0;
    for (const Process& process : processes_) {
      if (process.alive && process.manager->IsHeld(Clock(process))) ++holders;
    }
    if (holders != 1) Fail("nobody holds the lease");
    if (acquisitions_ > 0) Fail("the lease changes hosts without a fault");
  }

  LeaseCase options_;
  Duration elapsed_{0};
  InMemoryTable table_;
  UnreliableTableChannel channel_{
      [this](std::size_t process) { return processes_[process].paused; },
      [this](std::size_t process, const std::string& write_id,
             const CommitResponse& response) {
        OnResponse(process, write_id, response);
      }};
  std::vector<Process> processes_;
  std::map<std::size_t, std::size_t> current_;  // process by host
  std::vector<TableRow> row_history_;
  std::set<std::uint64_t> epochs_;
  std::uint64_t task_epoch_ = 0;
  int next_batch_ = 0;
  int acquisitions_ = 0;
  std::string violation_;
};

RC_GTEST_PROP(LeaseManager, OneHostHoldsIt, ()) {
  const auto schedule = *rc::gen::resize(400, rc::gen::arbitrary<Schedule>());
  RC_ASSERT(LeaseSimulation({"", {}}).Run(schedule) == "");
}

RC_GTEST_PROP(LeaseManager, OneHostHoldsItWithSeparateRenewals, ()) {
  const auto schedule = *rc::gen::resize(400, rc::gen::arbitrary<Schedule>());
  RC_ASSERT(LeaseSimulation({"", {}, true}).Run(schedule) == "");
}

TEST(LeaseManagerSchedules, HoldWithAllMechanisms) {
  EXPECT_EQ(CountViolations<LeaseSimulation>(LeaseCase{"", {}}, 300), 0);
  EXPECT_EQ(CountViolations<LeaseSimulation>(LeaseCase{"", {}, true}, 300), 0);
}

class LeaseFaultTest : public testing::TestWithParam<LeaseCase> {};

TEST_P(LeaseFaultTest, IsFoundWithTheMechanismOff) {
  EXPECT_GT(CountViolations<LeaseSimulation>(GetParam(), 300), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, LeaseFaultTest,
    testing::Values(LeaseCase{"count_from_answer", {true}},
                    LeaseCase{"keep_epoch", {false, true}},
                    LeaseCase{"ignore_time", {false, false, true}},
                    LeaseCase{"separate_from_answer", {true}, true},
                    LeaseCase{"separate_epoch", {false, true}, true},
                    LeaseCase{
                        "separate_ignore_time", {false, false, true}, true}),
    [](const auto& each) { return each.param.name; });

// A holder with a slow clock never renews, and a host with a fast clock waits
// for the lease to expire. Returns whether both held the lease at the same
// time.
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
  const auto tick = [&table](LeaseManager& manager, TimePoint now) {
    LeaseManager::Effects out;
    manager.Tick(now, out);
    for (std::size_t i = 0; i < out.size(); ++i) {
      if (const auto* commit = std::get_if<CommitLease>(&out[i])) {
        const TableTransaction transaction = commit->transaction;
        manager.OnCommit(now, transaction.write_id, table.Commit(transaction),
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

TEST(LeaseManagerMargin, PreventsOverlapOfDriftingClocks) {
  EXPECT_FALSE(Overlaps(milliseconds(200)));
  EXPECT_TRUE(Overlaps(Duration(0)));
}

// The holder cannot renew during a table outage, so it must have time to renew
// before another host acquires the lease.
TEST(LeaseManagerOutage, HolderCanRenewFirstAfterTheOutage) {
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
  EXPECT_TRUE(out.empty())
      << "nothing is sent while the table does not respond";
  waiting.set_table_available_since(back);
  waiting.Tick(back + milliseconds(10), out);
  EXPECT_TRUE(out.empty());
  waiting.Tick(back + settings.lease + settings.clock_drift_margin, out);
  EXPECT_EQ(out.size(), 1U);
}

LeaseSettings SeparateSettings(const char* host) {
  LeaseSettings settings;
  settings.host = HostId(host);
  settings.zone = kZone;
  settings.incarnation = 1;
  settings.separate_renewals = true;
  return settings;
}

// Its answer is lost with the table; the holder must have time to renew first.
TEST(LeaseManagerOutage, AnAcquisitionFromBeforeItDoesNotReplaceTheHolder) {
  const LeaseSettings settings = SeparateSettings("h1");
  LeaseManager waiting(kStart, settings);
  LeaseManager::Effects out;
  const LeaseRow row{HostId("h0"), 1, 1, settings.lease, 1};
  waiting.OnRow(
      kStart, {LeaseManager::RowKey(kZone), EncodeLeaseRow(row), 1, "w"}, out);
  const TimePoint lapsed = kStart + settings.lease + seconds(1);
  waiting.Tick(lapsed, out);
  ASSERT_EQ(out.size(), 1U);
  const std::string id = std::get<CommitLease>(out.back()).transaction.write_id;
  out.clear();
  waiting.OnCommit(lapsed, id, CommitResponse{}, out);
  waiting.set_table_available_since(std::nullopt);
  waiting.Tick(lapsed + seconds(2), out);
  const TimePoint back = lapsed + seconds(4);
  waiting.set_table_available_since(back);
  waiting.Tick(back + milliseconds(10), out);
  EXPECT_TRUE(out.empty()) << "sent on through the outage";
}

TEST(LeaseManagerSeparate, RenewalDoesNotWaitForATransactionOfTheHolder) {
  InMemoryTable table;
  const LeaseSettings settings = SeparateSettings("h1");
  LeaseManager manager(kStart, settings);
  LeaseManager::Effects out;
  const auto commit = [&](TimePoint now) {
    const TableTransaction sent = std::get<CommitLease>(out.back()).transaction;
    out.clear();
    manager.OnCommit(now, sent.write_id, table.Commit(sent), out);
  };
  manager.Tick(kStart, out);
  commit(kStart);
  const auto fence = manager.FenceCondition(kStart);
  ASSERT_TRUE(fence);
  const TimePoint due = kStart + settings.renew_interval;
  EXPECT_EQ(manager.NextTick(kStart), due);
  out.clear();
  manager.Tick(due, out);
  ASSERT_EQ(out.size(), 1U);
  commit(due);
  EXPECT_GE(manager.valid_until(),
            due + settings.lease - settings.clock_drift_margin);
  const TableTransaction batch{"b", {*fence}, {{"task", "x"}}};
  EXPECT_EQ(table.Commit(batch).status, CommitStatus::kCommitted);
}

TEST(LeaseManagerSeparate, ATransactionOfALostLeaseTakesNoEffect) {
  InMemoryTable table;
  LeaseManager first(kStart, SeparateSettings("h1"));
  LeaseManager second(kStart, SeparateSettings("h2"));
  LeaseManager::Effects out;
  first.Tick(kStart, out);
  const TableTransaction taken = std::get<CommitLease>(out.back()).transaction;
  first.OnCommit(kStart, taken.write_id, table.Commit(taken), out);
  const auto fence = first.FenceCondition(kStart);
  ASSERT_TRUE(fence);
  for (const char* key : {"placer/z", "placer-renewal/z"}) {
    second.OnRow(kStart, table.Row(key), out);
  }
  out.clear();
  const TimePoint later = kStart + seconds(10);
  second.Tick(later, out);
  ASSERT_EQ(out.size(), 1U);
  table.Commit(std::get<CommitLease>(out.back()).transaction);
  const TableTransaction batch{"b", {*fence}, {{"task", "x"}}};
  EXPECT_EQ(table.Commit(batch).status, CommitStatus::kConflict);
}

// The renewal that shortens the lease has taken effect, but its answer is lost.
TEST(LeaseManagerOutage, AShorterLeaseCountsFromItsSending) {
  for (const bool separate : {false, true}) {
    InMemoryTable table;
    LeaseSettings settings = SeparateSettings("h1");
    settings.separate_renewals = separate;
    settings.lease = milliseconds(600);
    settings.max_lease_duration = seconds(3);
    settings.clock_drift_margin = milliseconds(100);
    LeaseManager holder(kStart, settings);
    settings.host = HostId("h2");
    LeaseManager waiting(kStart, settings);
    LeaseManager::Effects out;
    holder.Tick(kStart, out);
    const auto taken = std::get<CommitLease>(out.back()).transaction;
    holder.OnCommit(kStart, taken.write_id, table.Commit(taken), out);
    out.clear();
    const TimePoint due = kStart + settings.renew_interval;
    holder.Tick(due, out);
    table.Commit(std::get<CommitLease>(out.back()).transaction);
    for (const char* key : {"placer/z", "placer-renewal/z"}) {
      waiting.OnRow(due, table.Row(key), out);
    }
    const TimePoint lapsed = due + milliseconds(710);
    out.clear();
    waiting.Tick(lapsed, out);
    ASSERT_EQ(out.size(), 1U);
    const auto next = std::get<CommitLease>(out.back()).transaction;
    waiting.OnCommit(lapsed, next.write_id, table.Commit(next), out);
    EXPECT_TRUE(waiting.IsHeld(lapsed));
    EXPECT_FALSE(holder.IsHeld(lapsed)) << "held by two hosts";
  }
}

// Commits take longer than the usual lease, which would then expire before the
// response to its acquisition arrives.
TEST(LeaseManagerOutage, LeaseIsAcquiredWithASlowTable) {
  LeaseSettings settings;
  settings.host = HostId("h1");
  settings.zone = kZone;
  settings.lease = milliseconds(600);
  settings.max_lease_duration = seconds(3);
  settings.clock_drift_margin = milliseconds(100);
  LeaseManager manager(kStart, settings);
  LeaseManager::Effects out;
  TimePoint now = kStart + seconds(1);
  std::uint64_t version = 0;
  std::uint64_t epoch = 0;
  for (int i = 0; i < 20; ++i) {
    manager.Tick(now, out);
    const LeaseManager::Effects effects = std::exchange(out, {});
    now += milliseconds(700);
    for (const LeaseEffect& effect : effects) {
      const auto* const commit = std::get_if<CommitLease>(&effect);
      if (commit == nullptr) continue;
      CommitResponse response;
      response.status = CommitStatus::kCommitted;
      response.revision = ++version;
      manager.OnCommit(now, commit->transaction.write_id, response, out);
    }
    EXPECT_TRUE(manager.IsHeld(now)) << "round " << i;
    if (epoch == 0) epoch = manager.epoch();
    EXPECT_EQ(manager.epoch(), epoch);
  }
}

TEST(LeaseManagerRelinquish, LeaseIsReacquiredWithAHigherEpoch) {
  LeaseSettings settings;
  settings.host = HostId("h1");
  settings.zone = kZone;
  LeaseManager manager(kStart, settings);
  std::uint64_t version = 0;
  for (const std::uint64_t epoch : {1U, 2U}) {
    LeaseManager::Effects out;
    const TimePoint now = kStart + seconds(1);
    manager.Tick(now, out);
    ASSERT_FALSE(out.empty());
    const auto commit = std::get<CommitLease>(out.back());
    CommitResponse response;
    response.status = CommitStatus::kCommitted;
    response.revision = ++version;
    manager.OnCommit(now, commit.transaction.write_id, response, out);
    EXPECT_TRUE(manager.IsHeld(now));
    EXPECT_EQ(manager.epoch(), epoch);
    manager.Relinquish(out);
    EXPECT_FALSE(manager.IsHeld(now));
  }
}

// A weak host hands the lease over to a stronger one, and takes it back if none
// comes.
TEST(LeaseManagerHandOver, TheLeaseIsFreeForOthersForAWhile) {
  InMemoryTable table;
  LeaseSettings settings;
  settings.zone = kZone;
  settings.host = HostId("weak");
  LeaseManager weak(kStart, settings);
  LeaseManager::Effects out;
  const auto commit_next = [&](LeaseManager& manager, TimePoint now) {
    const auto sent = std::get<CommitLease>(out.back()).transaction;
    out.clear();
    manager.OnCommit(now, sent.write_id, table.Commit(sent), out);
  };
  weak.Tick(kStart, out);
  commit_next(weak, kStart);
  ASSERT_TRUE(weak.IsHeld(kStart));
  out.clear();
  const TimePoint until = kStart + seconds(3);
  weak.HandOver(kStart, until, out);
  EXPECT_FALSE(weak.IsHeld(kStart)) << "before the release is written";
  commit_next(weak, kStart);
  const TimePoint soon = kStart + milliseconds(100);
  out.clear();
  weak.Tick(until - milliseconds(1), out);
  EXPECT_TRUE(out.empty());
  settings.host = HostId("strong");
  LeaseManager strong(kStart, settings);
  strong.OnRow(soon, table.Row(LeaseManager::RowKey(kZone)), out);
  LeaseManager fallback = weak;
  strong.Tick(soon, out);
  ASSERT_FALSE(out.empty()) << "released: another host need not wait";
  out.clear();
  fallback.Tick(until, out);
  ASSERT_FALSE(out.empty()) << "nobody has taken it";
}

TEST(LeaseManagerStop, ReleasedLeaseIsAcquiredAtOnce) {
  InMemoryTable table;
  LeaseSettings settings;
  settings.host = HostId("a");
  settings.zone = kZone;
  LeaseManager a(kStart, settings);
  settings.host = HostId("b");
  LeaseManager b(kStart, settings);
  LeaseManager::Effects out;
  const auto commit = [&](LeaseManager& manager) {
    const TableTransaction sent = std::get<CommitLease>(out.back()).transaction;
    out.clear();
    manager.OnCommit(kStart, sent.write_id, table.Commit(sent), out);
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

// The times by which a successor takes the lease of a host before it for over.
struct PredecessorCase {
  const char* name;
  bool released;
  Duration expected;  // after the start
};

class PredecessorTest : public testing::TestWithParam<PredecessorCase> {};

TEST_P(PredecessorTest, HasEndedByThen) {
  InMemoryTable table;
  LeaseSettings settings;
  settings.host = HostId("a");
  settings.zone = kZone;
  LeaseManager a(kStart, settings);
  settings.host = HostId("b");
  LeaseManager b(kStart, settings);
  LeaseManager::Effects out;
  const auto commit = [&](TimePoint now, LeaseManager& manager) {
    const TableTransaction sent = std::get<CommitLease>(out.back()).transaction;
    out.clear();
    manager.OnCommit(now, sent.write_id, table.Commit(sent), out);
  };
  a.Tick(kStart, out);
  commit(kStart, a);
  if (GetParam().released) {
    a.Stop(kStart, out);
    commit(kStart, a);
  }
  b.OnRow(kStart + seconds(1), table.Row(LeaseManager::RowKey(kZone)), out);
  out.clear();
  const TimePoint later = kStart + seconds(60);
  b.Tick(later, out);
  commit(later, b);
  ASSERT_TRUE(b.IsHeld(later));
  EXPECT_EQ(b.predecessor_ended_by(), kStart + GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, PredecessorTest,
    testing::Values(PredecessorCase{"Expired", false, seconds(4)},
                    PredecessorCase{"Released", true, seconds(1)}),
    [](const auto& each) { return each.param.name; });

// After an outage of the table a host sees the last renewal seconds after it
// was made. Jobs accepted since waited for workers out of reach.
TEST(LeaseManagerPredecessor, TheTablesClockTellsWhenARenewalWasSent) {
  constexpr milliseconds table_at_start{50'000};
  InMemoryTable table;
  LeaseSettings settings;
  settings.host = HostId("a");
  settings.zone = kZone;
  LeaseManager a(kStart, settings);
  settings.host = HostId("b");
  LeaseManager b(kStart, settings);
  TableClock clock;
  clock.OnReading(kStart, table_at_start);
  a.set_table_clock(clock);
  b.set_table_clock(clock);
  LeaseManager::Effects out;
  a.Tick(kStart, out);
  const auto sent = std::get<CommitLease>(out.back()).transaction;
  a.OnCommit(kStart, sent.write_id, table.Commit(sent), out);
  const TimePoint seen = kStart + seconds(9);
  b.OnRow(seen, table.Row(LeaseManager::RowKey(kZone)), out);
  out.clear();
  b.Tick(kStart + seconds(60), out);
  ASSERT_FALSE(out.empty());
  EXPECT_GE(b.predecessor_ended_by(), a.valid_until());
  EXPECT_LE(b.predecessor_ended_by(),
            kStart + settings.lease + milliseconds(500));
}

// A store that had started again had a clock that read less. The lease before
// counted as over since long, and with it the leases of all workers (TWICE).
TEST(LeaseManagerPredecessor, AClockThatHasStartedAgainEndsNoLeaseEarlier) {
  constexpr milliseconds table_at_start{50'000};
  LeaseSettings settings;
  settings.host = HostId("b");
  settings.zone = kZone;
  LeaseManager b(kStart, settings);
  TableClock clock;
  clock.OnReading(kStart, table_at_start);
  b.set_table_clock(clock);
  LeaseManager::Effects out;
  const auto see = [&](TimePoint now, std::uint64_t epoch, milliseconds sent) {
    const LeaseRow row{HostId("a"), epoch, epoch, settings.lease, epoch, sent};
    b.OnRow(now, {LeaseManager::RowKey(kZone), EncodeLeaseRow(row), epoch, "w"},
            out);
  };
  see(kStart, 1, table_at_start);
  const TimePoint seen = kStart + seconds(1);
  see(seen, 2, milliseconds(100));
  b.Tick(kStart + seconds(60), out);
  EXPECT_EQ(b.predecessor_ended_by(), seen + settings.lease);
}

// The times of this host's own renewals count, too.
TEST(LeaseManagerPredecessor, AHolderNoticesAClockThatHasStartedAgain) {
  LeaseSettings settings;
  settings.host = HostId("b");
  settings.zone = kZone;
  LeaseManager b(kStart, settings);
  TableClock clock;
  clock.OnReading(kStart, milliseconds(50'000));
  b.set_table_clock(clock);
  LeaseManager::Effects out;
  b.Tick(kStart, out);
  const auto sent = std::get<CommitLease>(out.back()).transaction;
  b.OnCommit(kStart, sent.write_id,
             {.status = CommitStatus::kCommitted, .revision = 1}, out);
  const TimePoint seen = kStart + seconds(20);
  const LeaseRow row{HostId("a"), 1, 2, settings.lease, 2, milliseconds(100)};
  b.OnRow(seen, {LeaseManager::RowKey(kZone), EncodeLeaseRow(row), 2, "w"},
          out);
  out.clear();
  b.Tick(kStart + seconds(60), out);
  EXPECT_EQ(b.predecessor_ended_by(), seen + settings.lease);
}

TEST(LeaseManagerPredecessor, ThisHostItselfMayHaveHeldItUntilNow) {
  LeaseSettings settings;
  settings.host = HostId("a");
  settings.zone = kZone;
  LeaseManager manager(kStart, settings);
  LeaseManager::Effects out;
  manager.Tick(kStart, out);
  const auto sent = std::get<CommitLease>(out.back()).transaction;
  manager.OnCommit(kStart, sent.write_id,
                   {.status = CommitStatus::kCommitted, .revision = 1}, out);
  const TimePoint later = kStart + seconds(2);
  manager.Relinquish(out);
  manager.Tick(later, out);
  EXPECT_EQ(manager.predecessor_ended_by(), later);
}

}  // namespace
}  // namespace chivewing
