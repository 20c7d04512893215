#include "entry/placer_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "entry/request_state.h"

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::chrono::milliseconds kLastResend{1000};
// Lease periods without a change of the lease row after which nobody counts as
// the placer.
constexpr int kStaleLeases = 2;

}  // namespace

PlacerController::PlacerController(TimePoint now,
                                   PlacerControllerSettings settings,
                                   PlacerCallbacks ports)
    : settings_(std::move(settings)),
      ports_(std::move(ports)),
      view_(settings_.lease.zone),
      lease_(now, settings_.lease),
      task_lease_renewer_({settings_.placer.link.task_lease,
                           settings_.placer.link.call_timeout}),
      singletons_(settings_.singletons),
      next_batch_(now) {}

ClockReading PlacerController::Clock(TimePoint now) const {
  return {now, ports_.wall_time()};
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
  TryLead(now);
  for (const WorkerId& worker : view_.workers().TakeRemovedWorkers(now)) {
    if (leading_) leading_->OnWorkerGone(now, worker);
  }
  ResendBatch(now);
  if (!leading_ || !lease_.IsHeld(now)) {
    KeepLeases(now);
    return;
  }
  leading_->Tick(Clock(now));
  leading_->SendWorkerRequests(now);
  SendBatch(now);
  for (const TableTransaction& claim : singletons_.Decide(now, view_)) {
    ports_.commit(claim);
  }
}

// --- Lease ---

void PlacerController::Apply(LeaseManager::Effects& effects) {
  for (LeaseEffect& effect : effects) {
    if (auto* commit = std::get_if<CommitLease>(&effect)) {
      ports_.commit(commit->transaction);
    } else if (auto* taken = std::get_if<LeaseAcquired>(&effect)) {
      EndLeading();
      refreshing_ = taken->epoch;
      refreshed_ = false;
      ports_.request_refresh(taken->epoch);
    } else if (std::holds_alternative<LeaseLost>(effect)) {
      EndLeading();
      refreshing_.reset();
    }
  }
}

void PlacerController::EndLeading() {
  // An open batch is sent until its end is known: the lease waits for that.
  leading_.reset();
}

void PlacerController::On(TimePoint now, PlacerRefreshCompleted& event) {
  if (refreshing_ != event.token) return;
  refreshed_ = true;
  TryLead(now);
}

void PlacerController::TryLead(TimePoint now) {
  if (!refreshing_ || !refreshed_ || leading_) return;
  if (!lease_.IsHeld(now) || !view_.workers().has_list()) return;
  leading_ = std::make_unique<PlacementSession>(Clock(now), settings_.placer,
                                                ports_, *refreshing_, view_);
  refreshing_.reset();
}

void PlacerController::On(TimePoint now, PlacerStopRequested& /*event*/) {
  stopping_ = true;
  EndLeading();
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
  if (!leading_) return;
  for (const TableRow& row : event.rows) leading_->OnRow(Clock(now), row);
}

void PlacerController::On(TimePoint now, WorkerListReceived& event) {
  view_.workers().OnList(event);
  if (leading_) leading_->OnWorkerListChanged(now);
}

void PlacerController::On(TimePoint /*now*/, RankChanged& event) {
  rank_ = event.rank;
}

void PlacerController::On(TimePoint now, WorkerResponseReceived& event) {
  if (leading_ && lease_.IsHeld(now)) {
    leading_->OnWorkerReply(now, event.reply);
  }
}

void PlacerController::KeepLeases(TimePoint now) {
  if (rank_ != 0 || stopping_ || lease_.IsHeld(now)) return;
  const auto lease = view_.leases().find(view_.zone());
  if (lease == view_.leases().end()) return;
  if (now - lease->second.seen_at < settings_.lease.lease * kStaleLeases)
    return;
  for (const WorkerRequest& call : task_lease_renewer_.Decide(now, view_)) {
    ports_.send_worker_request(call);
  }
}

// --- Batches ---

void PlacerController::SendBatch(TimePoint now) {
  if (batch_ || now < next_batch_) return;
  // The write id is used only if there is something to write.
  const std::string write_id =
      settings_.singletons.name + ".b" + std::to_string(next_write_);
  if (!lease_.CanBeginFencedTransaction(now)) return;
  std::vector<TableWrite> writes = leading_->TakeWrites(now);
  if (writes.empty()) return;
  std::optional<LeaseTransactionPart> guard =
      lease_.BeginFencedTransaction(now, write_id);
  if (!guard) return;
  ++next_write_;
  next_batch_ = now + settings_.batch_interval;
  OpenBatch batch;
  batch.transaction.write_id = write_id;
  batch.transaction.conditions.push_back(guard->condition);
  batch.transaction.writes = std::move(writes);
  batch.transaction.writes.push_back(guard->write);
  batch.sent_at = now;
  batch_ = std::move(batch);
  ports_.commit(batch_->transaction);
}

void PlacerController::ResendBatch(TimePoint now) {
  if (!batch_ || !batch_->resend_at || now < *batch_->resend_at) return;
  batch_->resend_at.reset();
  ports_.commit(batch_->transaction);
}

void PlacerController::On(TimePoint now, PlacerCommitCompleted& event) {
  if (batch_ && batch_->transaction.write_id == event.write_id) {
    OnBatchAnswer(now, event.answer);
    return;
  }
  LeaseManager::Effects effects;
  lease_.OnCommit(now, event.write_id, event.answer, effects);
  Apply(effects);
}

void PlacerController::OnBatchAnswer(TimePoint now,
                                     const CommitResponse& answer) {
  const bool definite = answer.status == CommitStatus::kCommitted ||
                        answer.status == CommitStatus::kConflict;
  if (!definite) {
    // Sent again as it was: an earlier copy may yet take effect.
    const Duration age = now - batch_->sent_at;
    batch_->resend_at =
        now +
        std::clamp<Duration>(age, settings_.initial_resend_delay, kLastResend);
    return;
  }
  const std::string write_id = batch_->transaction.write_id;
  std::uint64_t revision = 0;
  if (answer.status == CommitStatus::kCommitted) revision = answer.revision;
  for (const TableRow& row : answer.rows) {
    if (row.write_id == write_id) revision = row.version;
  }
  const bool committed = revision != 0;
  if (committed) {
    commit_time_.Add(now - batch_->sent_at);
    ++batches_;
    PublishBatch(revision);
  }
  batch_.reset();
  LeaseManager::Effects effects;
  lease_.OnCommit(now, write_id, answer, effects);
  Apply(effects);
  if (committed && leading_) leading_->OnBatchCommitted(now);
}

void PlacerController::PublishBatch(std::uint64_t revision) {
  std::vector<TableRow> rows;
  for (const TableWrite& write : batch_->transaction.writes) {
    TableRow row;
    row.key = write.key;
    row.value = write.value;
    row.version = revision;
    row.write_id = batch_->transaction.write_id;
    rows.push_back(std::move(row));
  }
  ports_.publish_committed_rows(std::move(rows));
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
  if (leading_) out["zone"] = nlohmann::json::parse(leading_->DumpState(now));
  return out.dump();
}

}  // namespace chivewing
