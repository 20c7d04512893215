#include "outcome/claim_manager.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <set>

#include "outcome/in_memory_table.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
constexpr std::size_t kHosts = 3;
constexpr std::size_t kKeys = 3;
const OwnerId kOwner("owner");

// Several entry hosts that claim the same few keys, over a faulty table and
// between faulty links, with hosts killed, replaced, paused and cut.
class ClaimWorld {
 public:
  explicit ClaimWorld(ClaimFaultInjection faults) : faults_(faults) {
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
    std::unique_ptr<ClaimManager> book;
    std::map<RequestId, std::size_t> granted;  // key by request that runs
  };
  struct PeerMail {
    std::size_t from;
    std::size_t to;
    std::variant<QueryClaimHolder, ClaimStatusResponse> message;
  };
  struct Caller {
    bool answered = false;
    std::size_t process = 0;
    std::size_t key = 0;
  };

  static HostId Name(std::size_t host) {
    return HostId("h" + std::to_string(host));
  }
  void Fail(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }
  bool Works(std::size_t process) const {
    return processes_[process].alive && !processes_[process].paused;
  }

  void Start(std::size_t host) {
    ClaimManagerSettings settings;
    settings.host = Name(host);
    settings.incarnation = processes_.size() + 1;
    settings.max_cached_outcomes = 2;
    Process process;
    process.host = host;
    process.book = std::make_unique<ClaimManager>(settings, faults_);
    processes_.push_back(std::move(process));
    current_[host] = processes_.size() - 1;
    for (std::size_t other = 0; other < kHosts; ++other) Connect(host, other);
  }
  void Connect(std::size_t a, std::size_t b) {
    if (a == b || current_.count(a) + current_.count(b) < 2) return;
    processes_[current_[a]].book->OnPeerUp(Name(b), current_[b] + 1);
    processes_[current_[b]].book->OnPeerUp(Name(a), current_[a] + 1);
  }

  void Step(std::uint8_t kind, std::uint8_t arg) {
    const std::size_t process = current_[arg % kHosts];
    ClaimManager::Effects out;
    if (kind < 4) {
      Ask(process, arg / kHosts % kKeys, milliseconds(200 + arg * 10), out);
    } else if (kind < 8) {
      link_.Step(table_, arg);
    } else if (kind < 10) {
      Finish(process, arg, out);
    } else if (kind < 12) {
      now_ += milliseconds(arg * arg / 64);
      TickAll();
    } else if (kind == 12) {
      if (arg < 64) Kill(process);
    } else if (kind == 13) {
      processes_[process].paused = !processes_[process].paused;
    } else if (kind == 14) {
      Deliver(arg);
    } else if (Works(process)) {
      const std::size_t other = (arg + 1) % kHosts;
      processes_[process].book->OnPeerDown(now_, Name(other), out);
      if (arg > 128) Connect(arg % kHosts, other);
    }
    Carry(process, out);
  }

  void Ask(std::size_t process, std::size_t key, milliseconds patience,
           ClaimManager::Effects& out) {
    if (!Works(process)) return;
    const RequestId request("r" + std::to_string(callers_.size()));
    callers_[request] = {false, process, key};
    processes_[process].book->Claim(
        now_, {request, kOwner, std::to_string(key), now_ + patience}, out);
  }
  void Link(std::uint8_t arg) { link_.Step(table_, arg); }
  void OnAnswer(std::size_t process, const std::string& write_id,
                const CommitResponse& answer) {
    if (!processes_[process].alive) return;
    ClaimManager::Effects out;
    processes_[process].book->OnCommit(now_, write_id, answer, out);
    Carry(process, out);
  }
  void Finish(std::size_t process, std::uint8_t arg,
              ClaimManager::Effects& out) {
    Process& at = processes_[process];
    if (!Works(process) || at.granted.empty()) return;
    const auto [request, key] = *at.granted.begin();
    at.granted.erase(at.granted.begin());
    Outcome outcome{OutcomeState::kNotRun, 0, "", ResultCode::kQueueFull};
    if (arg % 3 == 0) {
      outcome = {OutcomeState::kDone, 200, request.value() + "\xff", {}};
    } else if (arg % 3 == 1) {
      outcome = {OutcomeState::kUnknown, 0, "", ResultCode::kTimedOut};
    }
    if (outcome.state != OutcomeState::kNotRun) ran_[key] = outcome;
    at.book->RecordOutcome(now_, request, outcome, out);
  }
  void Kill(std::size_t process) {
    Process& at = processes_[process];
    at.alive = false;
    for (const auto& [request, key] : at.granted) {
      ran_[key] = {OutcomeState::kUnknown, 0, "", ResultCode::kClaimOpen};
    }
    Start(at.host);
  }
  void Deliver(std::uint8_t arg) {
    if (mail_.empty()) return;
    const auto at = std::next(mail_.begin(),
                              static_cast<std::ptrdiff_t>(arg % mail_.size()));
    const PeerMail mail = *at;
    mail_.erase(at);
    if (!Works(mail.to)) return;
    ClaimManager& book = *processes_[mail.to].book;
    ClaimManager::Effects out;
    if (const auto* ask = std::get_if<QueryClaimHolder>(&mail.message)) {
      book.OnClaimQuery(now_, Name(processes_[mail.from].host), *ask, out);
    } else {
      book.OnClaimStatus(now_, std::get<ClaimStatusResponse>(mail.message),
                         out);
    }
    Carry(mail.to, out);
  }
  void TickAll() {
    link_.Deliver();
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (!Works(i)) continue;
      ClaimManager::Effects out;
      processes_[i].book->Tick(now_, out);
      Carry(i, out);
    }
  }

  void Carry(std::size_t process, const ClaimManager::Effects& effects) {
    for (const ClaimEffect& effect : effects) {
      std::visit([&](const auto& each) { On(process, each); }, effect);
    }
  }
  void On(std::size_t process, const CommitClaims& effect) {
    link_.Send(process, effect.transaction);
  }
  void On(std::size_t process, const ClaimGranted& effect) {
    const std::size_t key = EndWait(effect.request);
    if (ran_.count(key) > 0) Fail("ran twice");
    for (const Process& other : processes_) {
      for (const auto& [request, running] : other.granted) {
        if (other.alive && running == key) Fail("runs in two places");
      }
    }
    processes_[process].granted[effect.request] = key;
  }
  void On(std::size_t /*process*/, const ClaimRefused& effect) {
    EndWait(effect.request);
  }
  void On(std::size_t /*process*/, const ClaimOutcomeReplayed& effect) {
    const std::size_t key = EndWait(effect.request);
    if (effect.outcome.state == OutcomeState::kNotRun) return;
    if (ran_.count(key) == 0) {
      Fail("answered what never ran");
    } else if (effect.outcome.state == OutcomeState::kDone &&
               !(effect.outcome == ran_[key])) {
      Fail("another answer than recorded");
    }
  }
  void On(std::size_t process, const QueryClaimHolder& effect) {
    mail_.push_back({process, ProcessOf(effect.host), effect});
  }
  void On(std::size_t process, const SendClaimStatus& effect) {
    mail_.push_back({process, ProcessOf(effect.host), effect.reply});
  }
  std::size_t ProcessOf(const HostId& host) {
    for (const auto& [index, process] : current_) {
      if (Name(index) == host) return process;
    }
    return 0;
  }
  std::size_t EndWait(const RequestId& request) {
    Caller& caller = callers_.at(request);
    if (std::exchange(caller.answered, true)) Fail("two answers to a request");
    return caller.key;
  }

  // All faults end: every caller must be answered, every outcome recorded, and
  // a key that has not run must be free.
  void Settle() {
    for (Process& process : processes_) process.paused = false;
    for (int round = 0; round < 40; ++round) {
      while (!mail_.empty()) Deliver(0);
      link_.Drain(table_);
      for (std::size_t i = 0; i < processes_.size(); ++i) {
        ClaimManager::Effects out;
        Finish(i, 0, out);
        Carry(i, out);
      }
      now_ += milliseconds(500);
      TickAll();
    }
    for (const auto& [request, caller] : callers_) {
      if (!caller.answered && processes_[caller.process].alive) {
        Fail("no answer to " + request.value());
      }
    }
    for (const Process& process : processes_) {
      if (process.alive && !process.book->IsFlushed()) Fail("not flushed");
    }
    for (const auto& [row_key, row] : table_.rows()) CheckRow(*row.value);
  }
  void CheckRow(const std::string& value) {
    const ClaimRow row = *DecodeClaimRow(value);
    const Process& process = processes_[row.incarnation - 1];
    if (!row.outcome && process.alive) Fail("open claim that nobody runs");
  }

  ClaimFaultInjection faults_;
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
  std::vector<PeerMail> mail_;
  std::map<RequestId, Caller> callers_;
  std::map<std::size_t, Outcome> ran_;  // by key
  std::string violation_;
};

RC_GTEST_PROP(ClaimManager, KeyRunsAtMostOnce, ()) {
  const auto schedule = *rc::gen::resize(400, rc::gen::arbitrary<Schedule>());
  RC_ASSERT(ClaimWorld({}).Run(schedule) == "");
}

TEST(ClaimManagerSchedules, HoldWithAllMechanisms) {
  EXPECT_EQ(CountViolations<ClaimWorld>(ClaimFaultInjection{}, 300), 0);
}

// Host 1 asks host 0 and is replaced: the answer reaches its new process, which
// has asked about another key meanwhile.
TEST(ClaimManagerSchedules, AnswerToAnEarlierProcessIsNotTaken) {
  const Schedule schedule = {{0, 69},  {0, 250},  {74, 14}, {0, 0},  {84, 64},
                             {68, 64}, {236, 22}, {0, 37},  {42, 14}};
  EXPECT_EQ(ClaimWorld({}).Run(schedule), "");
}

struct FaultCase {
  const char* name;
  ClaimFaultInjection faults;
};
class ClaimManagerFaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(ClaimManagerFaultTest, IsFoundWithTheMechanismOff) {
  EXPECT_GT(CountViolations<ClaimWorld>(GetParam().faults, 300), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, ClaimManagerFaultTest,
    testing::Values(FaultCase{"forget_doubt", {true}},
                    FaultCase{"grant_in_doubt", {false, true}},
                    FaultCase{"reclaim_open", {false, false, true}}),
    [](const auto& each) { return each.param.name; });

RC_GTEST_PROP(ClaimRow, RoundTripOfAnyBytes, ()) {
  const auto body = *rc::gen::arbitrary<std::string>();
  const Outcome outcome{OutcomeState::kDone, 200, body + "\xff\x80", {}};
  const ClaimRow row{RequestId("r"), HostId("h"), 7, outcome};
  const auto back = DecodeClaimRow(EncodeClaimRow(row));
  RC_ASSERT(back.has_value());
  RC_ASSERT(back->outcome == outcome);
  RC_ASSERT(!DecodeClaimRow(body).has_value());
}

TEST(ClaimManagerGroups, ClaimsWithinTheWindowShareATransaction) {
  ClaimManagerSettings settings;
  settings.host = HostId("h");
  ClaimManager book(settings);
  const TimePoint now(std::chrono::hours(1));
  ClaimManager::Effects out;
  for (const char* key : {"a", "b", "c"}) {
    book.Claim(now, {RequestId(key), kOwner, key, now + milliseconds(500)},
               out);
  }
  EXPECT_TRUE(out.empty());
  book.Tick(*book.NextWakeTime(), out);
  ASSERT_EQ(out.size(), 1U);
  const auto transaction = std::get<CommitClaims>(out[0]).transaction;
  EXPECT_EQ(transaction.writes.size(), 3U);
  // A conflict on one key does not fail the others.
  out.clear();
  InMemoryTable table;
  table.Commit({"w", {}, {{transaction.writes[1].key, "{}"}}});
  book.OnCommit(now, transaction.write_id, table.Commit(transaction), out);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(std::get<ClaimRefused>(out[0]).request, RequestId("b"));
  book.Tick(*book.NextWakeTime(), out);
  const auto again = std::get<CommitClaims>(out.at(1)).transaction;
  out.clear();
  book.OnCommit(now, again.write_id, table.Commit(again), out);
  EXPECT_EQ(out.size(), 2U);
}

}  // namespace
}  // namespace chivewing
