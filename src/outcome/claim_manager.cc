#include "outcome/claim_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

Outcome NotRunOutcome() {
  return Outcome{OutcomeState::kNotRun, 0, "", ResultCode::kClaimUnavailable};
}

// Where the numbers of asks start. An answer to an ask of an earlier process of
// this host may still arrive, so each process needs numbers far from those of
// all others: the incarnation is spread over 64 bits (SplitMix64's finaliser).
std::uint64_t FirstAsk(std::uint64_t incarnation) {
  std::uint64_t mixed = incarnation + 0x9E3779B97F4A7C15U;
  mixed = (mixed ^ mixed >> 30U) * 0xBF58476D1CE4E5B9U;
  mixed = (mixed ^ mixed >> 27U) * 0x94D049BB133111EBU;
  return mixed ^ mixed >> 31U;
}

std::chrono::milliseconds Remaining(TimePoint now, TimePoint until) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(until - now, Duration(0)));
}

}  // namespace

ClaimManager::ClaimManager(ClaimManagerSettings settings,
                           ClaimFaultInjection faults)
    : settings_(std::move(settings)),
      faults_(faults),
      next_ask_(FirstAsk(settings_.incarnation)) {}

void ClaimManager::Claim(TimePoint now, const ClaimRequest& request,
                         Effects& out) {
  const Waiter waiter{request.request, request.deadline, HostId(), 0};
  if (granted_.count(request.request) > 0) {
    RefuseOne(waiter, ResultCode::kBadRequest, out);
    return;
  }
  const std::string row_key = ClaimRowKey(request.owner, request.key);
  const auto found = claims_.find(row_key);
  if (found != claims_.end()) {
    AddRequest(now, found->second, waiter, out);
    Dispatch(now, out);
    return;
  }
  const bool full =
      claims_.size() - recorded_count_ >= settings_.max_pending_keys ||
      recording_bytes_ >= settings_.max_pending_outcome_bytes;
  if (full || now >= request.deadline) {
    RefuseOne(waiter,
              full ? ResultCode::kOverloaded : ResultCode::kDeadlineUnreachable,
              out);
    return;
  }
  KeyClaim& claim = claims_[row_key];
  claim.row_key = row_key;
  claim.owner = request.owner;
  claim.key = request.key;
  SetHolder(now, claim, waiter);
  Enqueue(now, claim);
  Dispatch(now, out);
}

// A further request of a key that is known already.
void ClaimManager::AddRequest(TimePoint now, KeyClaim& claim,
                              const Waiter& waiter, Effects& out) {
  const bool ended = claim.stage >= Stage::kRecording;
  if (ended && claim.outcome.state != OutcomeState::kNotRun) {
    AnswerOne(waiter, claim.outcome, out);
    return;
  }
  switch (claim.stage) {
    case Stage::kRecording:  // the row is still open and this host's
      recording_bytes_ -= std::exchange(claim.bytes, 0);
      SetHolder(now, claim, waiter);
      Grant(claim, out);
      return;
    case Stage::kRecorded:
      LeaveRecorded(claim);
      SetHolder(now, claim, waiter);
      Enqueue(now, claim);
      return;
    case Stage::kQueued:
    case Stage::kCommitting:
      if (!claim.holder) {
        SetHolder(now, claim, waiter);
        return;
      }
      break;
    case Stage::kGranted:
    case Stage::kAsking:
    case Stage::kWriting:
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
  SetAlarm(waiter.deadline, claim);
}

void ClaimManager::SetHolder(TimePoint now, KeyClaim& claim,
                             const Waiter& waiter) {
  claim.holder = waiter;
  claim.give_up = std::min(waiter.deadline, now + settings_.claim_patience);
  SetAlarm(claim.give_up, claim);
}

void ClaimManager::Enqueue(TimePoint now, KeyClaim& claim) {
  claim.stage = Stage::kQueued;
  queued_.push_back(claim.row_key);
  if (!group_since_) group_since_ = now;
}

void ClaimManager::EnqueueOutcome(TimePoint now, KeyClaim& claim) {
  claim.stage = Stage::kRecording;
  recording_.push_back(claim.row_key);
  if (!group_since_) group_since_ = now;
}

bool ClaimManager::IsGroupDue(TimePoint now) const {
  if (queued_.empty() && recording_.empty()) return false;
  if (flights_.size() >= settings_.max_in_flight_commits) return false;
  return queued_.size() >= settings_.max_batch_rows ||
         now >= *group_since_ + settings_.batch_window;
}

void ClaimManager::Dispatch(TimePoint now, Effects& out) {
  while (IsGroupDue(now)) {
    Flight flight = BuildFlight();
    const bool more = !queued_.empty() || !recording_.empty();
    group_since_ = more ? group_since_ : std::nullopt;
    if (flight.keys.empty()) continue;
    out.emplace_back(CommitClaims{flight.transaction});
    flights_.emplace(flight.transaction.write_id, std::move(flight));
  }
}

ClaimManager::Flight ClaimManager::BuildFlight() {
  Flight flight;
  flight.transaction.write_id = "claim-" + settings_.host.value() + "-" +
                                std::to_string(settings_.incarnation) + "-" +
                                std::to_string(next_write_++);
  std::size_t bytes = 0;
  FillFlight(flight, queued_, Stage::kQueued, Stage::kCommitting, bytes);
  FillFlight(flight, recording_, Stage::kRecording, Stage::kWriting, bytes);
  return flight;
}

// Moves claims from a queue into the transaction. A queue may name a claim that
// has moved on since: those are passed over.
void ClaimManager::FillFlight(Flight& flight, std::deque<std::string>& from,
                              Stage wanted, Stage next, std::size_t& bytes) {
  while (!from.empty() && flight.keys.size() < settings_.max_batch_rows &&
         bytes < settings_.max_batch_bytes) {
    const std::string row_key = std::move(from.front());
    from.pop_front();
    const auto found = claims_.find(row_key);
    if (found == claims_.end() || found->second.stage != wanted) continue;
    KeyClaim& claim = found->second;
    if (claim.holder) claim.row_request = claim.holder->request;
    claim.stage = next;
    std::string value = RowValue(claim);
    bytes += value.size();
    flight.transaction.conditions.push_back({row_key, claim.version});
    flight.transaction.writes.push_back({row_key, std::move(value)});
    flight.keys.push_back(row_key);
  }
}

std::string ClaimManager::RowValue(const KeyClaim& claim) const {
  ClaimRow row{claim.row_request, settings_.host, settings_.incarnation, {}};
  if (claim.stage == Stage::kWriting) row.outcome = claim.outcome;
  return EncodeClaimRow(row);
}

void ClaimManager::OnCommit(TimePoint now, const std::string& write_id,
                            const CommitResponse& answer, Effects& out) {
  const auto found = flights_.find(write_id);
  if (found == flights_.end()) return;
  CommitStatus status = answer.status;
  if (status == CommitStatus::kUnknown && faults_.treat_unknown_as_committed) {
    status = CommitStatus::kCommitted;
  }
  switch (status) {
    case CommitStatus::kCommitted:
    case CommitStatus::kConflict: {
      const Flight flight = std::move(found->second);
      flights_.erase(found);
      if (status == CommitStatus::kCommitted) {
        SettleCommitted(now, flight, answer.revision, out);
      } else {
        SettleConflict(now, flight, answer, out);
      }
      break;
    }
    case CommitStatus::kUnknown:
      found->second.unconfirmed = !faults_.treat_unknown_as_rejected;
      [[fallthrough]];
    case CommitStatus::kNotApplied:
      Expire(now, out);
      if (DropUnavailable(found->second, out)) {
        flights_.erase(found);
      } else {
        found->second.ScheduleRetry(now, settings_.initial_retry_delay,
                                    settings_.max_retry_delay);
      }
      break;
  }
  Dispatch(now, out);
}

// Whether a transaction that certainly was not taken has lost its purpose.
bool ClaimManager::DropUnavailable(const Flight& flight, Effects& out) {
  if (flight.unconfirmed) return false;
  const auto is_wanted = [this](const std::string& row_key) {
    const KeyClaim& claim = claims_.at(row_key);
    return claim.holder.has_value() || claim.stage == Stage::kWriting;
  };
  if (std::any_of(flight.keys.begin(), flight.keys.end(), is_wanted)) {
    return false;
  }
  for (const std::string& row_key : flight.keys) {
    RefuseAll(claims_.at(row_key), ResultCode::kClaimOpen, out);
  }
  return true;
}

void ClaimManager::SettleCommitted(TimePoint now, const Flight& flight,
                                   std::uint64_t version, Effects& out) {
  for (const std::string& row_key : flight.keys) {
    KeyClaim& claim = claims_.at(row_key);
    claim.version = version;
    if (claim.stage == Stage::kWriting) {
      OnOutcomeRecorded(now, claim, out);
    } else {
      OnClaimCommitted(now, claim, out);
    }
  }
}

void ClaimManager::SettleConflict(TimePoint now, const Flight& flight,
                                  const CommitResponse& answer, Effects& out) {
  const std::uint64_t own = VersionIfCommitted(flight.transaction, answer);
  if (own != 0) {
    SettleCommitted(now, flight, own, out);
    return;
  }
  ++counters_.conflicts;
  for (const std::string& row_key : flight.keys) {
    const auto row = std::find_if(
        answer.rows.begin(), answer.rows.end(),
        [&row_key](const TableRow& each) { return each.key == row_key; });
    const bool known = row != answer.rows.end();
    SettleOther(now, claims_.at(row_key), known ? &*row : nullptr, out);
  }
}

// One claim of a transaction that was not taken, with its present row.
void ClaimManager::SettleOther(TimePoint now, KeyClaim& claim,
                               const TableRow* row, Effects& out) {
  const bool changed = row != nullptr && row->version != claim.version;
  if (claim.stage == Stage::kWriting) {
    if (!changed) {
      EnqueueOutcome(now, claim);
      return;
    }
    ++counters_.record_failed;
    LogError(LogPart::kClaim, "row " + claim.row_key + " is not ours any more");
    OnOutcomeRecorded(now, claim, out);
    return;
  }
  if (!claim.holder && !PromoteWaiter(now, claim)) {
    RefuseAll(claim, ResultCode::kClaimOpen, out);
  } else if (changed) {
    OnForeignRow(now, claim, *row, out);
  } else {
    Enqueue(now, claim);
  }
}

void ClaimManager::OnForeignRow(TimePoint now, KeyClaim& claim,
                                const TableRow& row, Effects& out) {
  claim.version = row.version;
  if (!row.value) {
    Enqueue(now, claim);
    return;
  }
  const std::optional<ClaimRow> other = DecodeClaimRow(*row.value);
  if (!other) {
    RefuseAll(claim, ResultCode::kClaimOpen, out);
    return;
  }
  if (!other->outcome) {
    AskHolder(claim, *other, now, out);
    return;
  }
  if (other->outcome->state == OutcomeState::kNotRun) {
    Enqueue(now, claim);
    return;
  }
  claim.outcome = *other->outcome;
  AnswerAll(claim, out);
  KeepRecorded(claim);
}

void ClaimManager::AskHolder(KeyClaim& claim, const ClaimRow& row,
                             TimePoint now, Effects& out) {
  if (faults_.overwrite_pending_rows) {
    Enqueue(now, claim);
    return;
  }
  const auto peer = peers_.find(row.host);
  if (peer == peers_.end() || peer->second != row.incarnation) {
    RefuseAll(claim, ResultCode::kClaimOpen, out);
    return;
  }
  claim.stage = Stage::kAsking;
  claim.asked = row.host;
  claim.ask = next_ask_++;
  claim.give_up = claim.holder->deadline;
  SetAlarm(claim.give_up, claim);
  asks_[claim.ask] = claim.row_key;
  out.emplace_back(QueryClaimHolder{row.host, claim.ask, claim.owner, claim.key,
                                    Remaining(now, claim.give_up)});
}

void ClaimManager::OnClaimStatus(TimePoint now,
                                 const ClaimStatusResponse& reply,
                                 Effects& out) {
  const auto found = asks_.find(reply.ask);
  if (found == asks_.end()) return;
  KeyClaim& claim = claims_.at(found->second);
  asks_.erase(found);
  if (!reply.known) {
    RefuseAll(claim, ResultCode::kClaimOpen, out);
    return;
  }
  if (reply.outcome.state != OutcomeState::kNotRun) {
    claim.outcome = reply.outcome;
    AnswerAll(claim, out);
    KeepRecorded(claim);
    return;
  }
  // The row says not run by now. Wanting it absent makes the table show it.
  claim.version = 0;
  Enqueue(now, claim);
  Dispatch(now, out);
}

void ClaimManager::OnClaimQuery(TimePoint now, const HostId& from,
                                const QueryClaimHolder& ask, Effects& out) {
  const Waiter waiter{RequestId(), now + ask.remaining, from, ask.ask};
  const auto found = claims_.find(ClaimRowKey(ask.owner, ask.key));
  if (found == claims_.end() || found->second.stage == Stage::kAsking) {
    RefuseOne(waiter, ResultCode::kClaimOpen, out);
    return;
  }
  KeyClaim& claim = found->second;
  const bool ended = claim.stage >= Stage::kRecording;
  const bool not_run = claim.outcome.state == OutcomeState::kNotRun;
  if (claim.stage == Stage::kRecorded || (ended && !not_run)) {
    AnswerOne(waiter, claim.outcome, out);
  } else {
    AddWaiter(claim, waiter, out);
  }
}

void ClaimManager::OnPeerUp(const HostId& host, std::uint64_t incarnation) {
  peers_[host] = incarnation;
}

void ClaimManager::OnPeerDown(TimePoint now, const HostId& host, Effects& out) {
  static_cast<void>(now);
  peers_.erase(host);
  std::vector<std::string> asking;
  for (const auto& [ask, row_key] : asks_) {
    if (claims_.at(row_key).asked == host) asking.push_back(row_key);
  }
  for (const std::string& row_key : asking) {
    RefuseAll(claims_.at(row_key), ResultCode::kClaimOpen, out);
  }
}

void ClaimManager::OnClaimCommitted(TimePoint now, KeyClaim& claim,
                                    Effects& out) {
  if (claim.holder && now >= claim.give_up) ExpireHolder(now, claim, out);
  if (claim.holder) {
    Grant(claim, out);
    return;
  }
  claim.outcome = NotRunOutcome();
  EnqueueOutcome(now, claim);
}

void ClaimManager::Grant(KeyClaim& claim, Effects& out) {
  claim.stage = Stage::kGranted;
  granted_[claim.holder->request] = claim.row_key;
  ++counters_.granted;
  out.emplace_back(ClaimGranted{claim.holder->request});
  claim.holder.reset();
}

void ClaimManager::RecordOutcome(TimePoint now, const RequestId& request,
                                 Outcome outcome, Effects& out) {
  const auto found = granted_.find(request);
  if (found == granted_.end()) return;
  KeyClaim& claim = claims_.at(found->second);
  granted_.erase(found);
  if (outcome.state == OutcomeState::kNotRun && PromoteWaiter(now, claim)) {
    Grant(claim, out);
    return;
  }
  claim.outcome = std::move(outcome);
  if (claim.outcome.state != OutcomeState::kNotRun) AnswerAll(claim, out);
  if (claim.outcome.body.size() > settings_.max_recorded_body_bytes) {
    claim.outcome =
        Outcome{OutcomeState::kUnknown, 0, "", ResultCode::kClaimOpen};
  }
  claim.bytes = claim.outcome.body.size();
  recording_bytes_ += claim.bytes;
  EnqueueOutcome(now, claim);
  Dispatch(now, out);
}

void ClaimManager::OnOutcomeRecorded(TimePoint now, KeyClaim& claim,
                                     Effects& out) {
  recording_bytes_ -= claim.bytes;
  const bool not_run = claim.outcome.state == OutcomeState::kNotRun;
  if (not_run && PromoteWaiter(now, claim)) {
    claim.bytes = 0;
    Enqueue(now, claim);
    return;
  }
  AnswerAll(claim, out);
  KeepRecorded(claim);
}

// Makes the first request of this host that still waits the claim's holder.
bool ClaimManager::PromoteWaiter(TimePoint now, KeyClaim& claim) {
  const auto first = std::find_if(
      claim.waiters.begin(), claim.waiters.end(), [now](const Waiter& each) {
        return each.asker.empty() && now < each.deadline;
      });
  if (first == claim.waiters.end()) return false;
  const Waiter waiter = *first;
  claim.waiters.erase(first);
  SetHolder(now, claim, waiter);
  return true;
}

void ClaimManager::KeepRecorded(KeyClaim& claim) {
  claim.stage = Stage::kRecorded;
  claim.bytes = claim.outcome.body.size();
  recorded_bytes_ += claim.bytes;
  ++recorded_count_;
  recorded_.push_back(claim.row_key);
  while (recorded_.size() > settings_.max_cached_outcomes ||
         recorded_bytes_ > settings_.max_cached_outcome_bytes) {
    const auto oldest = claims_.find(recorded_.front());
    recorded_.pop_front();
    if (oldest == claims_.end()) continue;
    if (oldest->second.stage != Stage::kRecorded) continue;
    LeaveRecorded(oldest->second);
    Forget(oldest->second);
  }
}

void ClaimManager::LeaveRecorded(KeyClaim& claim) {
  recorded_bytes_ -= std::exchange(claim.bytes, 0);
  --recorded_count_;
}

void ClaimManager::AnswerAll(KeyClaim& claim, Effects& out) {
  if (claim.holder) AnswerOne(*claim.holder, claim.outcome, out);
  claim.holder.reset();
  for (const Waiter& waiter : std::exchange(claim.waiters, {})) {
    AnswerOne(waiter, claim.outcome, out);
  }
}

void ClaimManager::RefuseAll(KeyClaim& claim, ResultCode code, Effects& out) {
  if (claim.holder) RefuseOne(*claim.holder, code, out);
  for (const Waiter& waiter : claim.waiters) RefuseOne(waiter, code, out);
  Forget(claim);
}

void ClaimManager::AnswerOne(const Waiter& waiter, const Outcome& outcome,
                             Effects& out) {
  if (!waiter.asker.empty()) {
    out.emplace_back(
        SendClaimStatus{waiter.asker, {waiter.ask, true, outcome}});
    return;
  }
  ++counters_.answered;
  out.emplace_back(ClaimOutcomeReplayed{waiter.request, outcome});
}

void ClaimManager::RefuseOne(const Waiter& waiter, ResultCode code,
                             Effects& out) {
  if (!waiter.asker.empty()) {
    out.emplace_back(SendClaimStatus{waiter.asker, {waiter.ask, false, {}}});
    return;
  }
  ++counters_.refused;
  out.emplace_back(ClaimRefused{waiter.request, code});
}

void ClaimManager::SetAlarm(TimePoint at, const KeyClaim& claim) {
  alarms_.push({at, claim.row_key});
}

void ClaimManager::Expire(TimePoint now, Effects& out) {
  while (!alarms_.empty() && alarms_.top().at <= now) {
    const auto found = claims_.find(alarms_.top().row_key);
    alarms_.pop();
    if (found == claims_.end()) continue;
    ExpireWaiters(now, found->second, out);
    ExpireHolder(now, found->second, out);
  }
}

void ClaimManager::ExpireWaiters(TimePoint now, KeyClaim& claim, Effects& out) {
  const auto late = std::stable_partition(
      claim.waiters.begin(), claim.waiters.end(),
      [now](const Waiter& each) { return now < each.deadline; });
  for (auto each = late; each != claim.waiters.end(); ++each) {
    RefuseOne(*each, ResultCode::kClaimOpen, out);
  }
  claim.waiters.erase(late, claim.waiters.end());
}

// The claim may be gone afterwards, unless it is in a transaction.
void ClaimManager::ExpireHolder(TimePoint now, KeyClaim& claim, Effects& out) {
  if (!claim.holder || now < claim.give_up) return;
  const bool asking = claim.stage == Stage::kAsking;
  RefuseOne(*claim.holder,
            asking ? ResultCode::kClaimOpen : ResultCode::kClaimUnavailable,
            out);
  claim.holder.reset();
  if (PromoteWaiter(now, claim)) {
    if (asking) claim.give_up = claim.holder->deadline;
    SetAlarm(claim.give_up, claim);
    return;
  }
  if (claim.stage == Stage::kCommitting) return;
  RefuseAll(claim, ResultCode::kClaimOpen, out);
}

void ClaimManager::Forget(const KeyClaim& claim) {
  asks_.erase(claim.ask);
  claims_.erase(std::string(claim.row_key));
}

void ClaimManager::Resend(TimePoint now, Effects& out) {
  for (auto& [write_id, flight] : flights_) {
    if (!flight.IsRetryDue(now)) continue;
    flight.awaiting_retry = false;
    out.emplace_back(CommitClaims{flight.transaction});
  }
}

void ClaimManager::Tick(TimePoint now, Effects& out) {
  Expire(now, out);
  Resend(now, out);
  Dispatch(now, out);
}

std::optional<TimePoint> ClaimManager::NextWakeTime() const {
  std::optional<TimePoint> wake;
  const auto consider = [&wake](TimePoint at) {
    wake = wake ? std::min(*wake, at) : at;
  };
  const bool has_room = flights_.size() < settings_.max_in_flight_commits;
  if (group_since_ && has_room)
    consider(*group_since_ + settings_.batch_window);
  if (!alarms_.empty()) consider(alarms_.top().at);
  for (const auto& [write_id, flight] : flights_) {
    if (flight.awaiting_retry) consider(flight.retry_at);
  }
  return wake;
}

bool ClaimManager::IsFlushed() const {
  return flights_.empty() && granted_.empty() && queued_.empty() &&
         recording_.empty();
}

ClaimCounters ClaimManager::counters() const {
  ClaimCounters counters = counters_;
  counters.keys = claims_.size();
  counters.unrecorded = claims_.size() - recorded_count_;
  counters.in_flight = flights_.size();
  return counters;
}

}  // namespace chivewing
