#include "outcome/claim_book.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

Outcome NotRunOutcome() {
  return Outcome{OutcomeState::kNotRun, 0, "", ResultCode::kClaimUnavailable};
}

std::chrono::milliseconds Remaining(TimePoint now, TimePoint until) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(until - now, Duration(0)));
}

}  // namespace

ClaimBook::ClaimBook(ClaimBookSettings settings, ClaimBookFaults faults)
    : settings_(std::move(settings)), faults_(faults) {}

void ClaimBook::Claim(TimePoint now, const ClaimRequest& request,
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
  const bool full = claims_.size() - recorded_count_ >= settings_.keys_max ||
                    recording_bytes_ >= settings_.recording_max_bytes;
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
void ClaimBook::AddRequest(TimePoint now, KeyClaim& claim, const Waiter& waiter,
                           Effects& out) {
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

void ClaimBook::AddWaiter(KeyClaim& claim, const Waiter& waiter, Effects& out) {
  if (claim.waiters.size() >= settings_.waiters_max) {
    RefuseOne(waiter, ResultCode::kClaimOpen, out);
    return;
  }
  claim.waiters.push_back(waiter);
  SetAlarm(waiter.deadline, claim);
}

void ClaimBook::SetHolder(TimePoint now, KeyClaim& claim,
                          const Waiter& waiter) {
  claim.holder = waiter;
  claim.give_up = std::min(waiter.deadline, now + settings_.claim_patience);
  SetAlarm(claim.give_up, claim);
}

void ClaimBook::Enqueue(TimePoint now, KeyClaim& claim) {
  claim.stage = Stage::kQueued;
  queued_.push_back(claim.row_key);
  if (!group_since_) group_since_ = now;
}

void ClaimBook::EnqueueOutcome(TimePoint now, KeyClaim& claim) {
  claim.stage = Stage::kRecording;
  recording_.push_back(claim.row_key);
  if (!group_since_) group_since_ = now;
}

bool ClaimBook::IsGroupDue(TimePoint now) const {
  if (queued_.empty() && recording_.empty()) return false;
  if (flights_.size() >= settings_.in_flight_max) return false;
  return queued_.size() >= settings_.group_max ||
         now >= *group_since_ + settings_.group_window;
}

void ClaimBook::Dispatch(TimePoint now, Effects& out) {
  while (IsGroupDue(now)) {
    Flight flight = BuildFlight();
    const bool more = !queued_.empty() || !recording_.empty();
    group_since_ = more ? group_since_ : std::nullopt;
    if (flight.keys.empty()) continue;
    out.emplace_back(CommitClaims{flight.transaction});
    flights_.emplace(flight.transaction.write_id, std::move(flight));
  }
}

ClaimBook::Flight ClaimBook::BuildFlight() {
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
void ClaimBook::FillFlight(Flight& flight, std::deque<std::string>& from,
                           Stage wanted, Stage next, std::size_t& bytes) {
  while (!from.empty() && flight.keys.size() < settings_.group_max &&
         bytes < settings_.group_max_bytes) {
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

std::string ClaimBook::RowValue(const KeyClaim& claim) const {
  ClaimRow row{claim.row_request, settings_.host, settings_.incarnation, {}};
  if (claim.stage == Stage::kWriting) row.outcome = claim.outcome;
  return EncodeClaimRow(row);
}

void ClaimBook::OnCommit(TimePoint now, const std::string& write_id,
                         const CommitAnswer& answer, Effects& out) {
  const auto found = flights_.find(write_id);
  if (found == flights_.end()) return;
  CommitStatus status = answer.status;
  if (status == CommitStatus::kUnknown && faults_.grant_in_doubt) {
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
      found->second.in_doubt = !faults_.forget_doubt;
      [[fallthrough]];
    case CommitStatus::kUnavailable:
      Expire(now, out);
      if (DropUnavailable(found->second, out)) {
        flights_.erase(found);
      } else {
        found->second.Delay(now, settings_.first_retry, settings_.last_retry);
      }
      break;
  }
  Dispatch(now, out);
}

// Whether a transaction that certainly was not taken has lost its purpose.
bool ClaimBook::DropUnavailable(const Flight& flight, Effects& out) {
  if (flight.in_doubt) return false;
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

void ClaimBook::SettleCommitted(TimePoint now, const Flight& flight,
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

void ClaimBook::SettleConflict(TimePoint now, const Flight& flight,
                               const CommitAnswer& answer, Effects& out) {
  const std::uint64_t own = OwnVersion(flight.transaction, answer);
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
void ClaimBook::SettleOther(TimePoint now, KeyClaim& claim, const TableRow* row,
                            Effects& out) {
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

void ClaimBook::OnForeignRow(TimePoint now, KeyClaim& claim,
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

void ClaimBook::AskHolder(KeyClaim& claim, const ClaimRow& row, TimePoint now,
                          Effects& out) {
  if (faults_.reclaim_open) {
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
  out.emplace_back(AskClaimHolder{row.host, claim.ask, claim.owner, claim.key,
                                  Remaining(now, claim.give_up)});
}

void ClaimBook::OnReply(TimePoint now, const ClaimReply& reply, Effects& out) {
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

void ClaimBook::OnAsk(TimePoint now, const HostId& from,
                      const AskClaimHolder& ask, Effects& out) {
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

void ClaimBook::OnPeerUp(const HostId& host, std::uint64_t incarnation) {
  peers_[host] = incarnation;
}

void ClaimBook::OnPeerDown(TimePoint now, const HostId& host, Effects& out) {
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

void ClaimBook::OnClaimCommitted(TimePoint now, KeyClaim& claim, Effects& out) {
  if (claim.holder && now >= claim.give_up) ExpireHolder(now, claim, out);
  if (claim.holder) {
    Grant(claim, out);
    return;
  }
  claim.outcome = NotRunOutcome();
  EnqueueOutcome(now, claim);
}

void ClaimBook::Grant(KeyClaim& claim, Effects& out) {
  claim.stage = Stage::kGranted;
  granted_[claim.holder->request] = claim.row_key;
  ++counters_.granted;
  out.emplace_back(ClaimGranted{claim.holder->request});
  claim.holder.reset();
}

void ClaimBook::RecordOutcome(TimePoint now, const RequestId& request,
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
  if (claim.outcome.body.size() > settings_.body_max) {
    claim.outcome =
        Outcome{OutcomeState::kUnknown, 0, "", ResultCode::kClaimOpen};
  }
  claim.bytes = claim.outcome.body.size();
  recording_bytes_ += claim.bytes;
  EnqueueOutcome(now, claim);
  Dispatch(now, out);
}

void ClaimBook::OnOutcomeRecorded(TimePoint now, KeyClaim& claim,
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
bool ClaimBook::PromoteWaiter(TimePoint now, KeyClaim& claim) {
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

void ClaimBook::KeepRecorded(KeyClaim& claim) {
  claim.stage = Stage::kRecorded;
  claim.bytes = claim.outcome.body.size();
  recorded_bytes_ += claim.bytes;
  ++recorded_count_;
  recorded_.push_back(claim.row_key);
  while (recorded_.size() > settings_.recorded_max ||
         recorded_bytes_ > settings_.recorded_max_bytes) {
    const auto oldest = claims_.find(recorded_.front());
    recorded_.pop_front();
    if (oldest == claims_.end()) continue;
    if (oldest->second.stage != Stage::kRecorded) continue;
    LeaveRecorded(oldest->second);
    Forget(oldest->second);
  }
}

void ClaimBook::LeaveRecorded(KeyClaim& claim) {
  recorded_bytes_ -= std::exchange(claim.bytes, 0);
  --recorded_count_;
}

void ClaimBook::AnswerAll(KeyClaim& claim, Effects& out) {
  if (claim.holder) AnswerOne(*claim.holder, claim.outcome, out);
  claim.holder.reset();
  for (const Waiter& waiter : std::exchange(claim.waiters, {})) {
    AnswerOne(waiter, claim.outcome, out);
  }
}

void ClaimBook::RefuseAll(KeyClaim& claim, ResultCode code, Effects& out) {
  if (claim.holder) RefuseOne(*claim.holder, code, out);
  for (const Waiter& waiter : claim.waiters) RefuseOne(waiter, code, out);
  Forget(claim);
}

void ClaimBook::AnswerOne(const Waiter& waiter, const Outcome& outcome,
                          Effects& out) {
  if (!waiter.asker.empty()) {
    out.emplace_back(ReplyToAsker{waiter.asker, {waiter.ask, true, outcome}});
    return;
  }
  ++counters_.answered;
  out.emplace_back(ClaimAnswered{waiter.request, outcome});
}

void ClaimBook::RefuseOne(const Waiter& waiter, ResultCode code, Effects& out) {
  if (!waiter.asker.empty()) {
    out.emplace_back(ReplyToAsker{waiter.asker, {waiter.ask, false, {}}});
    return;
  }
  ++counters_.refused;
  out.emplace_back(ClaimRefused{waiter.request, code});
}

void ClaimBook::SetAlarm(TimePoint at, const KeyClaim& claim) {
  alarms_.push({at, claim.row_key});
}

void ClaimBook::Expire(TimePoint now, Effects& out) {
  while (!alarms_.empty() && alarms_.top().at <= now) {
    const auto found = claims_.find(alarms_.top().row_key);
    alarms_.pop();
    if (found == claims_.end()) continue;
    ExpireWaiters(now, found->second, out);
    ExpireHolder(now, found->second, out);
  }
}

void ClaimBook::ExpireWaiters(TimePoint now, KeyClaim& claim, Effects& out) {
  const auto late = std::stable_partition(
      claim.waiters.begin(), claim.waiters.end(),
      [now](const Waiter& each) { return now < each.deadline; });
  for (auto each = late; each != claim.waiters.end(); ++each) {
    RefuseOne(*each, ResultCode::kClaimOpen, out);
  }
  claim.waiters.erase(late, claim.waiters.end());
}

// The claim may be gone afterwards, unless it is in a transaction.
void ClaimBook::ExpireHolder(TimePoint now, KeyClaim& claim, Effects& out) {
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

void ClaimBook::Forget(const KeyClaim& claim) {
  asks_.erase(claim.ask);
  claims_.erase(std::string(claim.row_key));
}

void ClaimBook::Resend(TimePoint now, Effects& out) {
  for (auto& [write_id, flight] : flights_) {
    if (!flight.IsDue(now)) continue;
    flight.waiting = false;
    out.emplace_back(CommitClaims{flight.transaction});
  }
}

void ClaimBook::Tick(TimePoint now, Effects& out) {
  Expire(now, out);
  Resend(now, out);
  Dispatch(now, out);
}

std::optional<TimePoint> ClaimBook::NextWake() const {
  std::optional<TimePoint> wake;
  const auto consider = [&wake](TimePoint at) {
    wake = wake ? std::min(*wake, at) : at;
  };
  const bool has_room = flights_.size() < settings_.in_flight_max;
  if (group_since_ && has_room)
    consider(*group_since_ + settings_.group_window);
  if (!alarms_.empty()) consider(alarms_.top().at);
  for (const auto& [write_id, flight] : flights_) {
    if (flight.waiting) consider(flight.retry_at);
  }
  return wake;
}

bool ClaimBook::IsFlushed() const {
  return flights_.empty() && granted_.empty() && queued_.empty() &&
         recording_.empty();
}

ClaimBookCounters ClaimBook::counters() const {
  ClaimBookCounters counters = counters_;
  counters.keys = claims_.size();
  counters.unrecorded = claims_.size() - recorded_count_;
  counters.in_flight = flights_.size();
  return counters;
}

}  // namespace chivewing
