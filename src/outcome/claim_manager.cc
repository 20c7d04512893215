#include "outcome/claim_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

Outcome NotRunOutcome() {
  return Outcome{OutcomeState::kNotRun, 0, "", ResultCode::kClaimUnavailable};
}

// First query id of a process. A response to a query of an earlier process of
// this host may still arrive, so the ids of different processes must not
// overlap: the incarnation is hashed to 64 bits with SplitMix64's finaliser.
std::uint64_t FirstQueryId(std::uint64_t incarnation) {
  std::uint64_t mixed = incarnation + 0x9E3779B97F4A7C15U;
  mixed = (mixed ^ mixed >> 30U) * 0xBF58476D1CE4E5B9U;
  mixed = (mixed ^ mixed >> 27U) * 0x94D049BB133111EBU;
  return mixed ^ mixed >> 31U;
}

std::chrono::milliseconds RemainingTime(TimePoint now, TimePoint until) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(until - now, Duration(0)));
}

}  // namespace

ClaimManager::ClaimManager(ClaimManagerSettings settings,
                           ClaimFaultInjection faults)
    : settings_(std::move(settings)),
      faults_(faults),
      next_query_id_(FirstQueryId(settings_.incarnation)) {}

void ClaimManager::Claim(TimePoint now, const ClaimRequest& request,
                         Effects& out) {
  const Waiter waiter{request.request, request.deadline, HostId(), 0};
  if (granted_requests_.count(request.request) > 0) {
    RefuseOne(waiter, ResultCode::kBadRequest, out);
    return;
  }
  const std::string row_key = ClaimRowKey(request.owner, request.key);
  const auto found = claims_.find(row_key);
  if (found != claims_.end()) {
    AddRequest(now, found->second, waiter, out);
    SendDueBatches(now, out);
    return;
  }
  const bool over_limit =
      claims_.size() - cached_outcome_count_ >= settings_.max_pending_keys ||
      pending_outcome_bytes_ >= settings_.max_pending_outcome_bytes;
  if (over_limit || now >= request.deadline) {
    RefuseOne(
        waiter,
        over_limit ? ResultCode::kOverloaded : ResultCode::kDeadlineUnreachable,
        out);
    return;
  }
  KeyClaim& claim = claims_[row_key];
  claim.row_key = row_key;
  claim.owner = request.owner;
  claim.key = request.key;
  SetCandidate(now, claim, waiter);
  EnqueueClaim(now, claim);
  SendDueBatches(now, out);
}

// Adds a request of a key whose claim is in memory.
void ClaimManager::AddRequest(TimePoint now, KeyClaim& claim,
                              const Waiter& waiter, Effects& out) {
  const bool ended = claim.stage >= Stage::kOutcomeQueued;
  if (ended && claim.outcome.state != OutcomeState::kNotRun) {
    ReplayToOne(waiter, claim.outcome, out);
    return;
  }
  switch (claim.stage) {
    case Stage::kOutcomeQueued:  // the row is still this host's open claim
      pending_outcome_bytes_ -= std::exchange(claim.counted_bytes, 0);
      SetCandidate(now, claim, waiter);
      Grant(claim, out);
      return;
    case Stage::kRecorded:
      RemoveFromCache(claim);
      SetCandidate(now, claim, waiter);
      EnqueueClaim(now, claim);
      return;
    case Stage::kClaimQueued:
    case Stage::kClaimCommitting:
      if (!claim.candidate) {
        SetCandidate(now, claim, waiter);
        return;
      }
      break;
    case Stage::kGranted:
    case Stage::kQueryingHolder:
    case Stage::kOutcomeCommitting:
      break;
  }
  AddWaiter(claim, waiter, out);
}

void ClaimManager::AddWaiter(KeyClaim& claim, const Waiter& waiter,
                             Effects& out) {
  if (claim.waiters.size() >= settings_.max_waiters_per_key) {
    RefuseOne(waiter, ResultCode::kClaimOpen, out);
    return;
  }
  claim.waiters.push_back(waiter);
  SetTimer(waiter.deadline, claim);
}

void ClaimManager::SetCandidate(TimePoint now, KeyClaim& claim,
                                const Waiter& waiter) {
  claim.candidate = waiter;
  claim.candidate_deadline =
      std::min(waiter.deadline, now + settings_.claim_commit_timeout);
  SetTimer(claim.candidate_deadline, claim);
}

void ClaimManager::EnqueueClaim(TimePoint now, KeyClaim& claim) {
  claim.stage = Stage::kClaimQueued;
  claim_queue_.push_back(claim.row_key);
  if (!batch_started_at_) batch_started_at_ = now;
}

void ClaimManager::EnqueueOutcome(TimePoint now, KeyClaim& claim) {
  claim.stage = Stage::kOutcomeQueued;
  outcome_queue_.push_back(claim.row_key);
  if (!batch_started_at_) batch_started_at_ = now;
}

bool ClaimManager::IsBatchDue(TimePoint now) const {
  if (claim_queue_.empty() && outcome_queue_.empty()) return false;
  if (in_flight_.size() >= settings_.max_in_flight_commits) return false;
  return claim_queue_.size() >= settings_.max_batch_rows ||
         now >= *batch_started_at_ + settings_.batch_window;
}

void ClaimManager::SendDueBatches(TimePoint now, Effects& out) {
  while (IsBatchDue(now)) {
    InFlightCommit commit = BuildBatch();
    const bool more = !claim_queue_.empty() || !outcome_queue_.empty();
    batch_started_at_ = more ? batch_started_at_ : std::nullopt;
    if (commit.keys.empty()) continue;
    out.emplace_back(CommitClaims{commit.transaction});
    in_flight_.emplace(commit.transaction.write_id, std::move(commit));
  }
}

ClaimManager::InFlightCommit ClaimManager::BuildBatch() {
  InFlightCommit commit;
  commit.transaction.write_id = "claim-" + settings_.host.value() + "-" +
                                std::to_string(settings_.incarnation) + "-" +
                                std::to_string(next_write_number_++);
  std::size_t bytes = 0;
  FillBatch(commit, claim_queue_, Stage::kClaimQueued, Stage::kClaimCommitting,
            bytes);
  FillBatch(commit, outcome_queue_, Stage::kOutcomeQueued,
            Stage::kOutcomeCommitting, bytes);
  return commit;
}

// Moves claims from a queue into the transaction. Skips claims that are no
// longer in the expected stage.
void ClaimManager::FillBatch(InFlightCommit& commit,
                             std::deque<std::string>& from, Stage expected,
                             Stage next, std::size_t& bytes) {
  while (!from.empty() && commit.keys.size() < settings_.max_batch_rows &&
         bytes < settings_.max_batch_bytes) {
    const std::string row_key = std::move(from.front());
    from.pop_front();
    const auto found = claims_.find(row_key);
    if (found == claims_.end() || found->second.stage != expected) continue;
    KeyClaim& claim = found->second;
    if (claim.candidate) claim.written_request = claim.candidate->request;
    claim.stage = next;
    std::string value = RowValue(claim);
    bytes += value.size();
    commit.transaction.conditions.push_back({row_key, claim.version});
    commit.transaction.writes.push_back({row_key, std::move(value)});
    commit.keys.push_back(row_key);
  }
}

std::string ClaimManager::RowValue(const KeyClaim& claim) const {
  ClaimRow row{
      claim.written_request, settings_.host, settings_.incarnation, {}};
  if (claim.stage == Stage::kOutcomeCommitting) row.outcome = claim.outcome;
  return EncodeClaimRow(row);
}

void ClaimManager::OnCommit(TimePoint now, const std::string& write_id,
                            const CommitResponse& response, Effects& out) {
  const auto found = in_flight_.find(write_id);
  if (found == in_flight_.end()) return;
  CommitStatus status = response.status;
  if (status == CommitStatus::kUnknown && faults_.treat_unknown_as_committed) {
    status = CommitStatus::kCommitted;
  }
  switch (status) {
    case CommitStatus::kCommitted:
    case CommitStatus::kConflict: {
      const InFlightCommit commit = std::move(found->second);
      in_flight_.erase(found);
      if (status == CommitStatus::kCommitted) {
        ApplyCommitted(now, commit, response.revision, out);
      } else {
        ApplyConflict(now, commit, response, out);
      }
      break;
    }
    case CommitStatus::kUnknown:
      found->second.unconfirmed = !faults_.treat_unknown_as_rejected;
      [[fallthrough]];
    case CommitStatus::kNotApplied:
    case CommitStatus::kRejected:
      Expire(now, out);
      if (DropIfUnneeded(found->second, out)) {
        in_flight_.erase(found);
      } else {
        found->second.ScheduleRetry(now, settings_.initial_retry_delay,
                                    settings_.max_retry_delay);
      }
      break;
  }
  SendDueBatches(now, out);
}

// Drops the claims of a transaction that was certainly not applied and that no
// candidate or outcome needs any longer. Returns whether it did.
bool ClaimManager::DropIfUnneeded(const InFlightCommit& commit, Effects& out) {
  if (commit.unconfirmed) return false;
  const auto is_wanted = [this](const std::string& row_key) {
    const KeyClaim& claim = claims_.at(row_key);
    return claim.candidate.has_value() ||
           claim.stage == Stage::kOutcomeCommitting;
  };
  if (std::any_of(commit.keys.begin(), commit.keys.end(), is_wanted)) {
    return false;
  }
  for (const std::string& row_key : commit.keys) {
    RefuseAll(claims_.at(row_key), ResultCode::kClaimOpen, out);
  }
  return true;
}

void ClaimManager::ApplyCommitted(TimePoint now, const InFlightCommit& commit,
                                  std::uint64_t version, Effects& out) {
  for (const std::string& row_key : commit.keys) {
    KeyClaim& claim = claims_.at(row_key);
    claim.version = version;
    if (claim.stage == Stage::kOutcomeCommitting) {
      OnOutcomeRecorded(now, claim, out);
    } else {
      OnClaimCommitted(now, claim, out);
    }
  }
}

void ClaimManager::ApplyConflict(TimePoint now, const InFlightCommit& commit,
                                 const CommitResponse& response, Effects& out) {
  const std::uint64_t own_version =
      VersionIfCommitted(commit.transaction, response);
  if (own_version != 0) {
    ApplyCommitted(now, commit, own_version, out);
    return;
  }
  ++counters_.conflicts;
  for (const std::string& row_key : commit.keys) {
    const auto row = std::find_if(
        response.rows.begin(), response.rows.end(),
        [&row_key](const TableRow& each) { return each.key == row_key; });
    const bool row_found = row != response.rows.end();
    ApplyConflictToClaim(now, claims_.at(row_key), row_found ? &*row : nullptr,
                         out);
  }
}

// Handles one claim of a conflicting transaction. `row` is its current row,
// null when the response does not contain it.
void ClaimManager::ApplyConflictToClaim(TimePoint now, KeyClaim& claim,
                                        const TableRow* row, Effects& out) {
  const bool changed = row != nullptr && row->version != claim.version;
  if (claim.stage == Stage::kOutcomeCommitting) {
    if (!changed) {
      EnqueueOutcome(now, claim);
      return;
    }
    ++counters_.record_failed;
    LogError(LogPart::kClaim,
             "row " + claim.row_key +
                 " was replaced by another write; its outcome is not recorded");
    OnOutcomeRecorded(now, claim, out);
    return;
  }
  if (!claim.candidate && !PromoteWaiter(now, claim)) {
    RefuseAll(claim, ResultCode::kClaimOpen, out);
  } else if (changed) {
    OnChangedRow(now, claim, *row, out);
  } else {
    EnqueueClaim(now, claim);
  }
}

void ClaimManager::OnChangedRow(TimePoint now, KeyClaim& claim,
                                const TableRow& row, Effects& out) {
  claim.version = row.version;
  if (!row.value) {
    EnqueueClaim(now, claim);
    return;
  }
  const std::optional<ClaimRow> other = DecodeClaimRow(*row.value);
  if (!other) {
    RefuseAll(claim, ResultCode::kClaimOpen, out);
    return;
  }
  if (!other->outcome) {
    QueryHolder(claim, *other, now, out);
    return;
  }
  if (other->outcome->state == OutcomeState::kNotRun) {
    EnqueueClaim(now, claim);
    return;
  }
  claim.outcome = *other->outcome;
  ReplayToAll(claim, out);
  CacheOutcome(claim);
}

void ClaimManager::QueryHolder(KeyClaim& claim, const ClaimRow& row,
                               TimePoint now, Effects& out) {
  if (faults_.overwrite_pending_rows) {
    EnqueueClaim(now, claim);
    return;
  }
  const auto peer = connected_peers_.find(row.host);
  if (peer == connected_peers_.end() || peer->second != row.incarnation) {
    RefuseAll(claim, ResultCode::kClaimOpen, out);
    return;
  }
  claim.stage = Stage::kQueryingHolder;
  claim.queried_host = row.host;
  claim.query_id = next_query_id_++;
  claim.candidate_deadline = claim.candidate->deadline;
  SetTimer(claim.candidate_deadline, claim);
  queries_[claim.query_id] = claim.row_key;
  out.emplace_back(
      QueryClaimHolder{row.host, claim.query_id, claim.owner, claim.key,
                       RemainingTime(now, claim.candidate_deadline)});
}

void ClaimManager::OnClaimStatus(TimePoint now,
                                 const ClaimStatusResponse& response,
                                 Effects& out) {
  const auto found = queries_.find(response.ask);
  if (found == queries_.end()) return;
  KeyClaim& claim = claims_.at(found->second);
  queries_.erase(found);
  if (!response.known) {
    RefuseAll(claim, ResultCode::kClaimOpen, out);
    return;
  }
  if (response.outcome.state != OutcomeState::kNotRun) {
    claim.outcome = response.outcome;
    ReplayToAll(claim, out);
    CacheOutcome(claim);
    return;
  }
  // The row is marked not run by now, with a version not known here. The
  // condition that it is absent fails, and the conflict then returns the row.
  claim.version = 0;
  EnqueueClaim(now, claim);
  SendDueBatches(now, out);
}

void ClaimManager::OnClaimQuery(TimePoint now, const HostId& from,
                                const QueryClaimHolder& query, Effects& out) {
  const Waiter waiter{RequestId(), now + query.remaining, from, query.ask};
  const auto found = claims_.find(ClaimRowKey(query.owner, query.key));
  if (found == claims_.end() || found->second.stage == Stage::kQueryingHolder) {
    RefuseOne(waiter, ResultCode::kClaimOpen, out);
    return;
  }
  KeyClaim& claim = found->second;
  const bool ended = claim.stage >= Stage::kOutcomeQueued;
  const bool not_run = claim.outcome.state == OutcomeState::kNotRun;
  if (claim.stage == Stage::kRecorded || (ended && !not_run)) {
    ReplayToOne(waiter, claim.outcome, out);
  } else {
    AddWaiter(claim, waiter, out);
  }
}

void ClaimManager::OnPeerUp(const HostId& host, std::uint64_t incarnation) {
  connected_peers_[host] = incarnation;
}

void ClaimManager::OnPeerDown(TimePoint now, const HostId& host, Effects& out) {
  static_cast<void>(now);
  connected_peers_.erase(host);
  std::vector<std::string> querying;
  for (const auto& [query_id, row_key] : queries_) {
    if (claims_.at(row_key).queried_host == host) querying.push_back(row_key);
  }
  for (const std::string& row_key : querying) {
    RefuseAll(claims_.at(row_key), ResultCode::kClaimOpen, out);
  }
}

void ClaimManager::OnClaimCommitted(TimePoint now, KeyClaim& claim,
                                    Effects& out) {
  if (claim.candidate && now >= claim.candidate_deadline)
    ExpireCandidate(now, claim, out);
  if (claim.candidate) {
    Grant(claim, out);
    return;
  }
  claim.outcome = NotRunOutcome();
  EnqueueOutcome(now, claim);
}

void ClaimManager::Grant(KeyClaim& claim, Effects& out) {
  claim.stage = Stage::kGranted;
  granted_requests_[claim.candidate->request] = claim.row_key;
  ++counters_.granted;
  out.emplace_back(ClaimGranted{claim.candidate->request});
  claim.candidate.reset();
}

void ClaimManager::RecordOutcome(TimePoint now, const RequestId& request,
                                 Outcome outcome, Effects& out) {
  const auto found = granted_requests_.find(request);
  if (found == granted_requests_.end()) return;
  KeyClaim& claim = claims_.at(found->second);
  granted_requests_.erase(found);
  if (outcome.state == OutcomeState::kNotRun && PromoteWaiter(now, claim)) {
    Grant(claim, out);
    return;
  }
  claim.outcome = std::move(outcome);
  if (claim.outcome.state != OutcomeState::kNotRun) ReplayToAll(claim, out);
  if (claim.outcome.body.size() > settings_.max_recorded_body_bytes) {
    claim.outcome =
        Outcome{OutcomeState::kUnknown, 0, "", ResultCode::kClaimOpen};
  }
  claim.counted_bytes = claim.outcome.body.size();
  pending_outcome_bytes_ += claim.counted_bytes;
  EnqueueOutcome(now, claim);
  SendDueBatches(now, out);
}

void ClaimManager::OnOutcomeRecorded(TimePoint now, KeyClaim& claim,
                                     Effects& out) {
  pending_outcome_bytes_ -= claim.counted_bytes;
  const bool not_run = claim.outcome.state == OutcomeState::kNotRun;
  if (not_run && PromoteWaiter(now, claim)) {
    claim.counted_bytes = 0;
    EnqueueClaim(now, claim);
    return;
  }
  ReplayToAll(claim, out);
  CacheOutcome(claim);
}

// Makes the first waiting request of this host that has not expired the claim's
// candidate.
bool ClaimManager::PromoteWaiter(TimePoint now, KeyClaim& claim) {
  const auto first = std::find_if(
      claim.waiters.begin(), claim.waiters.end(), [now](const Waiter& each) {
        return each.querying_host.empty() && now < each.deadline;
      });
  if (first == claim.waiters.end()) return false;
  const Waiter waiter = *first;
  claim.waiters.erase(first);
  SetCandidate(now, claim, waiter);
  return true;
}

void ClaimManager::CacheOutcome(KeyClaim& claim) {
  claim.stage = Stage::kRecorded;
  claim.counted_bytes = claim.outcome.body.size();
  cached_outcome_bytes_ += claim.counted_bytes;
  ++cached_outcome_count_;
  cached_keys_.push_back(claim.row_key);
  while (cached_keys_.size() > settings_.max_cached_outcomes ||
         cached_outcome_bytes_ > settings_.max_cached_outcome_bytes) {
    const auto oldest = claims_.find(cached_keys_.front());
    cached_keys_.pop_front();
    if (oldest == claims_.end()) continue;
    if (oldest->second.stage != Stage::kRecorded) continue;
    RemoveFromCache(oldest->second);
    EraseClaim(oldest->second);
  }
}

void ClaimManager::RemoveFromCache(KeyClaim& claim) {
  cached_outcome_bytes_ -= std::exchange(claim.counted_bytes, 0);
  --cached_outcome_count_;
}

void ClaimManager::ReplayToAll(KeyClaim& claim, Effects& out) {
  if (claim.candidate) ReplayToOne(*claim.candidate, claim.outcome, out);
  claim.candidate.reset();
  for (const Waiter& waiter : std::exchange(claim.waiters, {})) {
    ReplayToOne(waiter, claim.outcome, out);
  }
}

void ClaimManager::RefuseAll(KeyClaim& claim, ResultCode code, Effects& out) {
  if (claim.candidate) RefuseOne(*claim.candidate, code, out);
  for (const Waiter& waiter : claim.waiters) RefuseOne(waiter, code, out);
  EraseClaim(claim);
}

void ClaimManager::ReplayToOne(const Waiter& waiter, const Outcome& outcome,
                               Effects& out) {
  if (!waiter.querying_host.empty()) {
    out.emplace_back(SendClaimStatus{waiter.querying_host,
                                     {waiter.query_id, true, outcome}});
    return;
  }
  ++counters_.answered;
  out.emplace_back(ClaimOutcomeReplayed{waiter.request, outcome});
}

void ClaimManager::RefuseOne(const Waiter& waiter, ResultCode code,
                             Effects& out) {
  if (!waiter.querying_host.empty()) {
    out.emplace_back(
        SendClaimStatus{waiter.querying_host, {waiter.query_id, false, {}}});
    return;
  }
  ++counters_.refused;
  out.emplace_back(ClaimRefused{waiter.request, code});
}

void ClaimManager::SetTimer(TimePoint at, const KeyClaim& claim) {
  timers_.push({at, claim.row_key});
}

void ClaimManager::Expire(TimePoint now, Effects& out) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const auto found = claims_.find(timers_.top().row_key);
    timers_.pop();
    if (found == claims_.end()) continue;
    ExpireWaiters(now, found->second, out);
    ExpireCandidate(now, found->second, out);
  }
}

void ClaimManager::ExpireWaiters(TimePoint now, KeyClaim& claim, Effects& out) {
  const auto expired = std::stable_partition(
      claim.waiters.begin(), claim.waiters.end(),
      [now](const Waiter& each) { return now < each.deadline; });
  for (auto each = expired; each != claim.waiters.end(); ++each) {
    RefuseOne(*each, ResultCode::kClaimOpen, out);
  }
  claim.waiters.erase(expired, claim.waiters.end());
}

// May erase the claim, unless it is in a transaction.
void ClaimManager::ExpireCandidate(TimePoint now, KeyClaim& claim,
                                   Effects& out) {
  if (!claim.candidate || now < claim.candidate_deadline) return;
  const bool querying = claim.stage == Stage::kQueryingHolder;
  RefuseOne(*claim.candidate,
            querying ? ResultCode::kClaimOpen : ResultCode::kClaimUnavailable,
            out);
  claim.candidate.reset();
  if (PromoteWaiter(now, claim)) {
    if (querying) claim.candidate_deadline = claim.candidate->deadline;
    SetTimer(claim.candidate_deadline, claim);
    return;
  }
  if (claim.stage == Stage::kClaimCommitting) return;
  RefuseAll(claim, ResultCode::kClaimOpen, out);
}

void ClaimManager::EraseClaim(const KeyClaim& claim) {
  queries_.erase(claim.query_id);
  claims_.erase(std::string(claim.row_key));
}

void ClaimManager::RetryCommits(TimePoint now, Effects& out) {
  for (auto& [write_id, commit] : in_flight_) {
    if (!commit.IsRetryDue(now)) continue;
    commit.awaiting_retry = false;
    out.emplace_back(CommitClaims{commit.transaction});
  }
}

void ClaimManager::Tick(TimePoint now, Effects& out) {
  Expire(now, out);
  RetryCommits(now, out);
  SendDueBatches(now, out);
}

std::optional<TimePoint> ClaimManager::NextWakeTime() const {
  std::optional<TimePoint> wake;
  const auto consider = [&wake](TimePoint at) {
    wake = wake ? std::min(*wake, at) : at;
  };
  const bool has_room = in_flight_.size() < settings_.max_in_flight_commits;
  if (batch_started_at_ && has_room)
    consider(*batch_started_at_ + settings_.batch_window);
  if (!timers_.empty()) consider(timers_.top().at);
  for (const auto& [write_id, commit] : in_flight_) {
    if (commit.awaiting_retry) consider(commit.retry_at);
  }
  return wake;
}

bool ClaimManager::IsFlushed() const {
  return in_flight_.empty() && granted_requests_.empty() &&
         claim_queue_.empty() && outcome_queue_.empty();
}

ClaimCounters ClaimManager::counters() const {
  ClaimCounters counters = counters_;
  counters.keys = claims_.size();
  counters.unrecorded = claims_.size() - cached_outcome_count_;
  counters.in_flight = in_flight_.size();
  return counters;
}

}  // namespace chivewing
