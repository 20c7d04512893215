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
  // How long the first claim of a batch waits for others to join its
  // transaction.
  Duration batch_window = std::chrono::milliseconds(3);
  std::size_t max_batch_rows = 64;             // per transaction
  std::size_t max_batch_bytes = 512UL * 1024;  // of row values, per transaction
  std::size_t max_in_flight_commits = 4;       // concurrent
  std::size_t max_pending_keys = 20000;        // outcome not yet recorded
  std::size_t max_waiters_per_key = 16;        // requests waiting for one key
  std::size_t max_cached_outcomes = 10000;     // recorded ones kept in memory
  std::size_t max_cached_outcome_bytes = 32UL * 1024 * 1024;
  // Of outcomes not yet recorded; beyond it new keys are refused.
  std::size_t max_pending_outcome_bytes = 64UL * 1024 * 1024;
  // The outcome of a longer body is recorded as unknown.
  std::size_t max_recorded_body_bytes = 256UL * 1024;
  // A claim whose commit is not confirmed within this time is refused.
  Duration claim_commit_timeout = std::chrono::seconds(2);
  Duration initial_retry_delay = std::chrono::milliseconds(20);
  Duration max_retry_delay = std::chrono::seconds(2);
};

// Faults that tests inject to show that each safety mechanism is needed. All
// are off in production.
struct ClaimFaultInjection {
  // A lost response counts as not applied.
  bool treat_unknown_as_rejected = false;
  // A lost response counts as committed.
  bool treat_unknown_as_committed = false;
  bool overwrite_pending_rows = false;  // overwrites open claims of other hosts
};

// Counts for the state dump.
struct ClaimCounters {
  std::size_t keys = 0;        // claims in memory, including recorded ones
  std::size_t unrecorded = 0;  // claims whose outcome is not yet in the table
  std::size_t in_flight = 0;   // transactions
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t answered = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t record_failed = 0;  // outcomes whose row another write replaced
};

// Ensures that of all requests with the same owner and idempotency key at most
// one is dispatched, whichever entry host they arrive at. A claim row is
// committed before the dispatch, and the outcome is written to it afterwards.
//
// A request whose claim commit is unconfirmed has not been dispatched, so it
// may be refused as not run at its deadline. The commit is then resolved in the
// background and the row, if it was written, is marked not run.
//
// Input: claims, outcomes, commit responses, queries of other hosts, ticks.
// Output: commits and peer messages to send, and the decision on each request.
// Does no I/O; the caller provides the time and runs it on one thread.
class ClaimManager {
 public:
  using Effects = std::vector<ClaimEffect>;

  explicit ClaimManager(ClaimManagerSettings settings,
                        ClaimFaultInjection faults = {});

  // Asks to run `request`, whose id must be unique among the requests in
  // progress in this process. Exactly one of ClaimGranted, ClaimRefused and
  // ClaimOutcomeReplayed follows, by its deadline if Tick is called when due.
  void Claim(TimePoint now, const ClaimRequest& request, Effects& out);

  // Records the outcome of a granted request. A not-run outcome frees the key.
  void RecordOutcome(TimePoint now, const RequestId& request, Outcome outcome,
                     Effects& out);

  // Response to a CommitClaims.
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitResponse& response, Effects& out);

  // Another host asks about a claim of this host.
  void OnClaimQuery(TimePoint now, const HostId& from,
                    const QueryClaimHolder& query, Effects& out);
  void OnClaimStatus(TimePoint now, const ClaimStatusResponse& response,
                     Effects& out);
  void OnPeerUp(const HostId& host, std::uint64_t incarnation);
  void OnPeerDown(TimePoint now, const HostId& host, Effects& out);

  void Tick(TimePoint now, Effects& out);
  // When Tick is next due; empty when there is nothing to do.
  std::optional<TimePoint> NextWakeTime() const;

  // Whether every outcome is recorded in the table; checked in a planned stop.
  bool IsFlushed() const;
  ClaimCounters counters() const;

 private:
  // A request that waits for the end of its key's claim: a request of this
  // host, or a query of another one if `querying_host` is set.
  struct Waiter {
    RequestId request;
    TimePoint deadline;
    HostId querying_host;
    std::uint64_t query_id = 0;
  };
  enum class Stage {
    kClaimQueued,        // claim to be committed
    kClaimCommitting,    // claim in a transaction
    kGranted,            // request running
    kQueryingHolder,     // another host holds the claim and was asked
    kOutcomeQueued,      // outcome to be written
    kOutcomeCommitting,  // outcome in a transaction
    kRecorded,
  };
  struct KeyClaim {
    std::string row_key;
    OwnerId owner;
    std::string key;
    Stage stage = Stage::kClaimQueued;
    std::uint64_t version = 0;        // newest known of the row
    std::optional<Waiter> candidate;  // runs when the claim is committed
    TimePoint candidate_deadline;     // when the candidate is refused
    std::vector<Waiter> waiters;
    Outcome outcome;
    RequestId written_request;      // written to the row
    std::size_t counted_bytes = 0;  // of the outcome's body, in the byte totals
    HostId queried_host;
    std::uint64_t query_id = 0;
  };
  struct InFlightCommit : PendingCommit {
    std::vector<std::string> keys;  // row keys
  };
  struct Timer {
    TimePoint at;
    std::string row_key;
    friend bool operator>(const Timer& a, const Timer& b) {
      return a.at > b.at;
    }
  };

  void AddRequest(TimePoint now, KeyClaim& claim, const Waiter& waiter,
                  Effects& out);
  void AddWaiter(KeyClaim& claim, const Waiter& waiter, Effects& out);
  void SetCandidate(TimePoint now, KeyClaim& claim, const Waiter& waiter);
  void EnqueueClaim(TimePoint now, KeyClaim& claim);
  void EnqueueOutcome(TimePoint now, KeyClaim& claim);
  void SendDueBatches(TimePoint now, Effects& out);
  bool IsBatchDue(TimePoint now) const;
  InFlightCommit BuildBatch();
  void FillBatch(InFlightCommit& commit, std::deque<std::string>& from,
                 Stage expected, Stage next, std::size_t& bytes);
  std::string RowValue(const KeyClaim& claim) const;
  void RetryCommits(TimePoint now, Effects& out);
  bool DropIfUnneeded(const InFlightCommit& commit, Effects& out);
  void ApplyCommitted(TimePoint now, const InFlightCommit& commit,
                      std::uint64_t version, Effects& out);
  void ApplyConflict(TimePoint now, const InFlightCommit& commit,
                     const CommitResponse& response, Effects& out);
  void ApplyConflictToClaim(TimePoint now, KeyClaim& claim, const TableRow* row,
                            Effects& out);
  void OnChangedRow(TimePoint now, KeyClaim& claim, const TableRow& row,
                    Effects& out);
  void OnClaimCommitted(TimePoint now, KeyClaim& claim, Effects& out);
  void OnOutcomeRecorded(TimePoint now, KeyClaim& claim, Effects& out);
  void Grant(KeyClaim& claim, Effects& out);
  void QueryHolder(KeyClaim& claim, const ClaimRow& row, TimePoint now,
                   Effects& out);
  bool PromoteWaiter(TimePoint now, KeyClaim& claim);
  void CacheOutcome(KeyClaim& claim);
  void RemoveFromCache(KeyClaim& claim);
  void ReplayToAll(KeyClaim& claim, Effects& out);
  // Refuses all requests and erases the claim: `claim` is invalid afterwards.
  void RefuseAll(KeyClaim& claim, ResultCode code, Effects& out);
  void ReplayToOne(const Waiter& waiter, const Outcome& outcome, Effects& out);
  void RefuseOne(const Waiter& waiter, ResultCode code, Effects& out);
  void Expire(TimePoint now, Effects& out);
  void ExpireWaiters(TimePoint now, KeyClaim& claim, Effects& out);
  void ExpireCandidate(TimePoint now, KeyClaim& claim, Effects& out);
  void SetTimer(TimePoint at, const KeyClaim& claim);
  void EraseClaim(const KeyClaim& claim);

  ClaimManagerSettings settings_;
  ClaimFaultInjection faults_;
  std::unordered_map<std::string, KeyClaim> claims_;  // by row key
  std::unordered_map<RequestId, std::string>
      granted_requests_;                   // row key by request
  std::deque<std::string> claim_queue_;    // row keys of claims to commit
  std::deque<std::string> outcome_queue_;  // row keys of outcomes to write
  std::deque<std::string> cached_keys_;    // oldest first; keys may repeat
  std::size_t cached_outcome_count_ = 0;
  std::size_t cached_outcome_bytes_ = 0;
  std::size_t pending_outcome_bytes_ = 0;
  std::map<std::string, InFlightCommit> in_flight_;  // by write id
  // Row key by query id.
  std::unordered_map<std::uint64_t, std::string> queries_;
  // Incarnation by host.
  std::unordered_map<HostId, std::uint64_t> connected_peers_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::optional<TimePoint> batch_started_at_;
  std::uint64_t next_write_number_ = 1;
  std::uint64_t next_query_id_;
  ClaimCounters counters_;
};

}  // namespace chivewing
