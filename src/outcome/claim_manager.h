#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "outcome/claim_effects.h"
#include "outcome/claim_row.h"
#include "store/pending_commit.h"

namespace chivewing {

struct ClaimManagerSettings {
  HostId host;
  std::uint64_t incarnation = 0;
  // How long the first claim waits for others to share its transaction.
  Duration batch_window = std::chrono::milliseconds(3);
  std::size_t max_batch_rows = 64;             // rows a transaction
  std::size_t max_batch_bytes = 512UL * 1024;  // of row values
  std::size_t max_in_flight_commits = 4;       // transactions
  std::size_t max_pending_keys = 20000;        // not yet recorded
  std::size_t max_waiters_per_key = 16;        // requests behind one key
  std::size_t max_cached_outcomes = 10000;     // outcomes kept in memory
  std::size_t max_cached_outcome_bytes = 32UL * 1024 * 1024;
  std::size_t max_pending_outcome_bytes =
      64UL * 1024 * 1024;                              // not yet recorded
  std::size_t max_recorded_body_bytes = 256UL * 1024;  // of a recorded answer
  // A claim that the table did not take in this time is refused.
  Duration claim_patience = std::chrono::seconds(2);
  Duration initial_retry_delay = std::chrono::milliseconds(20);
  Duration max_retry_delay = std::chrono::seconds(2);
};

// Mechanisms that tests turn off to show what they prevent.
struct ClaimFaultInjection {
  bool treat_unknown_as_rejected = false;   // a lost answer counts as not taken
  bool treat_unknown_as_committed = false;  // a lost answer counts as taken
  bool overwrite_pending_rows =
      false;  // open claims of other hosts are overwritten
};

// Counts for the state dump.
struct ClaimCounters {
  std::size_t keys = 0;        // claims in memory, recorded ones included
  std::size_t unrecorded = 0;  // claims whose outcome is not yet in the table
  std::size_t in_flight = 0;   // transactions
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t answered = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t record_failed = 0;  // outcomes that could not be recorded
};

// Sees to it that of all requests with the same owner and key at most one is
// dispatched, on whichever entry host they arrive. A claim row is committed
// before the dispatch, and the outcome is written to it afterwards.
//
// A claim whose commit is in doubt has not been dispatched, so its request may
// be refused as not run at its deadline; the row is then found out about and
// marked not run in the background.
class ClaimManager {
 public:
  using Effects = std::vector<ClaimEffect>;

  explicit ClaimManager(ClaimManagerSettings settings,
                        ClaimFaultInjection faults = {});

  // Asks to run `request`, whose id must differ from all others that are under
  // way in this process. Exactly one of ClaimGranted, ClaimRefused and
  // ClaimOutcomeReplayed follows, no later than its deadline if Tick is called.
  void Claim(TimePoint now, const ClaimRequest& request, Effects& out);

  // The granted request has ended. A not-run outcome frees the key.
  void RecordOutcome(TimePoint now, const RequestId& request, Outcome outcome,
                     Effects& out);

  // The answer to a CommitClaims.
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitResponse& answer, Effects& out);

  // Another host asks about a claim of this one.
  void OnClaimQuery(TimePoint now, const HostId& from,
                    const QueryClaimHolder& ask, Effects& out);
  void OnClaimStatus(TimePoint now, const ClaimStatusResponse& reply,
                     Effects& out);
  void OnPeerUp(const HostId& host, std::uint64_t incarnation);
  void OnPeerDown(TimePoint now, const HostId& host, Effects& out);

  void Tick(TimePoint now, Effects& out);
  // When Tick is next due; nothing while there is nothing to do.
  std::optional<TimePoint> NextWakeTime() const;

  // Whether every outcome is in the table, for a planned stop.
  bool IsFlushed() const;
  ClaimCounters counters() const;

 private:
  // A request that waits for the end of its key's claim, of this host or (with
  // `asker`) of another one.
  struct Waiter {
    RequestId request;
    TimePoint deadline;
    HostId asker;
    std::uint64_t ask = 0;
  };
  enum class Stage {
    kQueued,      // to be committed
    kCommitting,  // in a transaction
    kGranted,     // its request runs
    kAsking,      // another host's claim: asked for its end
    kRecording,   // outcome known, to be written
    kWriting,     // outcome in a transaction
    kRecorded,
  };
  struct KeyClaim {
    std::string row_key;
    OwnerId owner;
    std::string key;
    Stage stage = Stage::kQueued;
    std::uint64_t version = 0;     // of the row as last known
    std::optional<Waiter> holder;  // who runs when it is committed
    TimePoint give_up;             // when the holder is refused
    std::vector<Waiter> waiters;
    Outcome outcome;
    RequestId row_request;  // as written in the row
    std::size_t bytes = 0;  // of the outcome's body, as counted
    HostId asked;
    std::uint64_t ask = 0;
  };
  struct Flight : PendingCommit {
    std::vector<std::string> keys;  // row keys
  };
  struct Alarm {
    TimePoint at;
    std::string row_key;
    friend bool operator>(const Alarm& a, const Alarm& b) {
      return a.at > b.at;
    }
  };

  void AddRequest(TimePoint now, KeyClaim& claim, const Waiter& waiter,
                  Effects& out);
  void AddWaiter(KeyClaim& claim, const Waiter& waiter, Effects& out);
  void SetHolder(TimePoint now, KeyClaim& claim, const Waiter& waiter);
  void Enqueue(TimePoint now, KeyClaim& claim);
  void EnqueueOutcome(TimePoint now, KeyClaim& claim);
  void Dispatch(TimePoint now, Effects& out);
  bool IsGroupDue(TimePoint now) const;
  Flight BuildFlight();
  void FillFlight(Flight& flight, std::deque<std::string>& from, Stage wanted,
                  Stage next, std::size_t& bytes);
  std::string RowValue(const KeyClaim& claim) const;
  void Resend(TimePoint now, Effects& out);
  bool DropUnavailable(const Flight& flight, Effects& out);
  void SettleCommitted(TimePoint now, const Flight& flight,
                       std::uint64_t version, Effects& out);
  void SettleConflict(TimePoint now, const Flight& flight,
                      const CommitResponse& answer, Effects& out);
  void SettleOther(TimePoint now, KeyClaim& claim, const TableRow* row,
                   Effects& out);
  void OnForeignRow(TimePoint now, KeyClaim& claim, const TableRow& row,
                    Effects& out);
  void OnClaimCommitted(TimePoint now, KeyClaim& claim, Effects& out);
  void OnOutcomeRecorded(TimePoint now, KeyClaim& claim, Effects& out);
  void Grant(KeyClaim& claim, Effects& out);
  void AskHolder(KeyClaim& claim, const ClaimRow& row, TimePoint now,
                 Effects& out);
  bool PromoteWaiter(TimePoint now, KeyClaim& claim);
  void KeepRecorded(KeyClaim& claim);
  void LeaveRecorded(KeyClaim& claim);
  void AnswerAll(KeyClaim& claim, Effects& out);
  // Refuses everybody and forgets the claim: `claim` is gone afterwards.
  void RefuseAll(KeyClaim& claim, ResultCode code, Effects& out);
  void AnswerOne(const Waiter& waiter, const Outcome& outcome, Effects& out);
  void RefuseOne(const Waiter& waiter, ResultCode code, Effects& out);
  void Expire(TimePoint now, Effects& out);
  void ExpireWaiters(TimePoint now, KeyClaim& claim, Effects& out);
  void ExpireHolder(TimePoint now, KeyClaim& claim, Effects& out);
  void SetAlarm(TimePoint at, const KeyClaim& claim);
  void Forget(const KeyClaim& claim);

  ClaimManagerSettings settings_;
  ClaimFaultInjection faults_;
  std::unordered_map<std::string, KeyClaim> claims_;    // by row key
  std::unordered_map<RequestId, std::string> granted_;  // row key by request
  std::deque<std::string> queued_;     // row keys of claims to commit
  std::deque<std::string> recording_;  // row keys of outcomes to write
  std::deque<std::string> recorded_;   // may name keys twice; oldest first
  std::size_t recorded_count_ = 0;
  std::size_t recorded_bytes_ = 0;
  std::size_t recording_bytes_ = 0;
  std::map<std::string, Flight> flights_;                // by write id
  std::unordered_map<std::uint64_t, std::string> asks_;  // row key by ask
  std::unordered_map<HostId, std::uint64_t> peers_;      // up, with incarnation
  std::priority_queue<Alarm, std::vector<Alarm>, std::greater<>> alarms_;
  std::optional<TimePoint> group_since_;
  std::uint64_t next_write_ = 1;
  std::uint64_t next_ask_;
  ClaimCounters counters_;
};

}  // namespace chivewing
