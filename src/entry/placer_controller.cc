#include "entry/placer_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "entry/request_state.h"

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::chrono::milliseconds kMaxResendDelay{1000};
// If the lease row has not changed for this many lease periods, the zone is
// taken to have no placer.
constexpr int kStaleLeasePeriods = 2;

}  // namespace

PlacerController::PlacerController(TimePoint now,
                                   PlacerControllerSettings settings,
                                   PlacerCallbacks callbacks)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      view_(settings_.lease.zone),
      lease_(now, settings_.lease),
      lease_renewer_({settings_.session.worker_session.task_lease,
                      settings_.session.worker_session.call_timeout}),
      singletons_(settings_.singletons),
      next_batch_at_(now) {}

ClockReading PlacerController::ReadClock(TimePoint now) const {
  return {now, callbacks_.wall_time()};
}

void PlacerController::HandleEvent(TimePoint now, PlacerEvent& event) {
  std::visit([this, now](auto& each) { On(now, each); }, event);
}

TimePoint PlacerController::NextWake(TimePoint now) const {
  return now + kTickInterval;
}

bool PlacerController::IsStopped() const { return lease_.IsStopped(); }

void PlacerController::Tick(TimePoint now) {
  LeaseManager::Effects effects;
  lease_.set_rank(rank_);
  lease_.Tick(now, effects);
  Apply(effects);
  TryStartSession(now);
  for (const WorkerId& worker : view_.workers().TakeRemovedWorkers(now)) {
    if (session_) session_->OnWorkerRemoved(now, worker);
  }
  ResendBatch(now);
  if (!session_ || !lease_.IsHeld(now)) {
    RenewTaskLeases(now);
    return;
  }
  session_->Tick(ReadClock(now));
  session_->SendWorkerRequests(now);
  SendBatch(now);
  for (const TableTransaction& transaction : singletons_.Decide(now, view_)) {
    callbacks_.commit(transaction);
  }
}

// --- Lease ---

void PlacerController::Apply(LeaseManager::Effects& effects) {
  for (LeaseEffect& effect : effects) {
    if (auto* commit = std::get_if<CommitLease>(&effect)) {
      callbacks_.commit(commit->transaction);
    } else if (auto* acquired = std::get_if<LeaseAcquired>(&effect)) {
      EndSession();
      refresh_epoch_ = acquired->epoch;
      refresh_completed_ = false;
      callbacks_.request_refresh(acquired->epoch);
    } else if (std::holds_alternative<LeaseLost>(effect)) {
      EndSession();
      refresh_epoch_.reset();
    }
  }
}

void PlacerController::EndSession() {
  // A pending batch is still resent until its outcome is known; the lease is
  // not acquired again before that.
  session_.reset();
}

void PlacerController::On(TimePoint now, PlacerRefreshCompleted& event) {
  if (refresh_epoch_ != event.token) return;
  refresh_completed_ = true;
  TryStartSession(now);
}

void PlacerController::TryStartSession(TimePoint now) {
  if (!refresh_epoch_ || !refresh_completed_ || session_) return;
  if (!lease_.IsHeld(now) || !view_.workers().has_list()) return;
  session_ = std::make_unique<PlacementSession>(
      ReadClock(now), settings_.session, callbacks_, *refresh_epoch_, view_);
  refresh_epoch_.reset();
}

void PlacerController::On(TimePoint now, PlacerStopRequested& /*event*/) {
  stopping_ = true;
  EndSession();
  LeaseManager::Effects effects;
  lease_.Stop(now, effects);
  Apply(effects);
}

// --- Rows, workers, peers ---

void PlacerController::On(TimePoint now, RowsUpdated& event) {
  LeaseManager::Effects effects;
  for (const TableRow& row : event.rows) {
    view_.OnRow(now, row);
    lease_.OnRow(now, row, effects);
  }
  Apply(effects);
  if (!session_) return;
  for (const TableRow& row : event.rows) session_->OnRow(ReadClock(now), row);
}

void PlacerController::On(TimePoint now, WorkerListReceived& event) {
  view_.workers().OnWorkerList(event);
  if (session_) session_->OnWorkerListChanged(now);
}

void PlacerController::On(TimePoint /*now*/, RankChanged& event) {
  rank_ = event.rank;
}

void PlacerController::On(TimePoint now, WorkerResponseReceived& event) {
  if (session_ && lease_.IsHeld(now)) {
    session_->OnWorkerResponse(now, event.response);
  }
}

void PlacerController::RenewTaskLeases(TimePoint now) {
  if (rank_ != 0 || stopping_ || lease_.IsHeld(now)) return;
  const auto lease = view_.leases().find(view_.zone());
  if (lease == view_.leases().end()) return;
  if (now - lease->second.seen_at < settings_.lease.lease * kStaleLeasePeriods)
    return;
  for (const WorkerRequest& request :
       lease_renewer_.TakeDueRenewals(now, view_)) {
    callbacks_.send_worker_request(request);
  }
}

// --- Batches ---

void PlacerController::SendBatch(TimePoint now) {
  if (pending_batch_ || now < next_batch_at_) return;
  // next_write_ advances only if there is something to write.
  const std::string write_id =
      settings_.singletons.write_id_prefix + ".b" + std::to_string(next_write_);
  if (!lease_.CanBeginFencedTransaction(now)) return;
  std::vector<TableWrite> writes = session_->TakeWrites(now);
  if (writes.empty()) return;
  std::optional<LeaseTransactionPart> fence =
      lease_.BeginFencedTransaction(now, write_id);
  if (!fence) return;
  ++next_write_;
  next_batch_at_ = now + settings_.batch_interval;
  PendingBatch batch;
  batch.transaction.write_id = write_id;
  batch.transaction.conditions.push_back(fence->condition);
  batch.transaction.writes = std::move(writes);
  batch.transaction.writes.push_back(fence->write);
  batch.sent_at = now;
  pending_batch_ = std::move(batch);
  callbacks_.commit(pending_batch_->transaction);
}

void PlacerController::ResendBatch(TimePoint now) {
  if (!pending_batch_ || !pending_batch_->resend_at ||
      now < *pending_batch_->resend_at)
    return;
  pending_batch_->resend_at.reset();
  callbacks_.commit(pending_batch_->transaction);
}

void PlacerController::On(TimePoint now, PlacerCommitCompleted& event) {
  if (pending_batch_ &&
      pending_batch_->transaction.write_id == event.write_id) {
    OnBatchResponse(now, event.response);
    return;
  }
  LeaseManager::Effects effects;
  lease_.OnCommit(now, event.write_id, event.response, effects);
  Apply(effects);
}

void PlacerController::OnBatchResponse(TimePoint now,
                                       const CommitResponse& response) {
  const bool definite = response.status == CommitStatus::kCommitted ||
                        response.status == CommitStatus::kConflict;
  if (!definite) {
    // Resent unchanged: an earlier copy may still be applied.
    const Duration age = now - pending_batch_->sent_at;
    pending_batch_->resend_at =
        now + std::clamp<Duration>(age, settings_.initial_resend_delay,
                                   kMaxResendDelay);
    return;
  }
  const std::string write_id = pending_batch_->transaction.write_id;
  std::uint64_t revision = 0;
  if (response.status == CommitStatus::kCommitted) revision = response.revision;
  for (const TableRow& row : response.rows) {
    if (row.write_id == write_id) revision = row.version;
  }
  const bool committed = revision != 0;
  if (committed) {
    commit_time_.Add(now - pending_batch_->sent_at);
    ++batches_;
    PublishBatch(revision);
  }
  pending_batch_.reset();
  LeaseManager::Effects effects;
  lease_.OnCommit(now, write_id, response, effects);
  Apply(effects);
  if (committed && session_) session_->OnBatchCommitted(now);
}

void PlacerController::PublishBatch(std::uint64_t revision) {
  std::vector<TableRow> rows;
  for (const TableWrite& write : pending_batch_->transaction.writes) {
    TableRow row;
    row.key = write.key;
    row.value = write.value;
    row.version = revision;
    row.write_id = pending_batch_->transaction.write_id;
    rows.push_back(std::move(row));
  }
  callbacks_.publish_committed_rows(std::move(rows));
}

// --- State ---

void PlacerController::On(TimePoint now, StateDumpRequested& event) {
  event.done(DumpState(now));
}

std::string PlacerController::DumpState(TimePoint now) const {
  const bool held = lease_.IsHeld(now);
  nlohmann::json out = {{"lease_held", held},
                        {"epoch", lease_.epoch()},
                        {"rank", rank_},
                        {"batches", batches_},
                        {"commit_time", HistogramToJson(commit_time_)}};
  if (held) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        lease_.valid_until() - now);
    out["lease_left_ms"] = left.count();
  }
  if (session_) out["zone"] = nlohmann::json::parse(session_->DumpState(now));
  return out.dump();
}

}  // namespace chivewing
