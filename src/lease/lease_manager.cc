#include "lease/lease_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

// A lease is extended by this many commit durations: one for the renewal, one
// for a commit in flight before it, and two as reserve.
constexpr int kCommitDurationsPerLease = 4;

}  // namespace

LeaseManager::LeaseManager(TimePoint now, LeaseSettings settings,
                           LeaseFaultInjection faults)
    : settings_(std::move(settings)), faults_(faults), row_seen_at_(now) {}

std::string LeaseManager::RowKey(const ZoneId& zone) {
  return "placer/" + zone.value();
}

void LeaseManager::OnRow(TimePoint now, const TableRow& row, Effects& out) {
  if (row.key == RowKey(settings_.zone)) ApplyRow(now, row, out);
}

void LeaseManager::ApplyRow(TimePoint now, const TableRow& row, Effects& out) {
  if (row.version <= row_version_) return;
  const std::optional<LeaseRow> parsed =
      row.value ? DecodeLeaseRow(*row.value) : LeaseRow{};
  if (!parsed)
    LogError(LogPart::kLease,
             "the lease row cannot be decoded; treating it as released");
  const std::uint64_t epoch = row_.epoch;
  row_ = parsed.value_or(LeaseRow{});
  row_.epoch = std::max(row_.epoch, epoch);
  row_version_ = row.version;
  row_seen_at_ = now;
  // A row of this process with the held epoch is a renewal whose response has
  // not arrived yet: the lease stays valid until the time known before.
  if (held_ && !(IsHeldByThisProcess() && row_.epoch == epoch_)) MarkLost(out);
}

bool LeaseManager::IsHeldByThisProcess() const {
  return row_.host == settings_.host &&
         row_.incarnation == settings_.incarnation;
}

bool LeaseManager::IsHeld(TimePoint now) const {
  return held_ && !stopping_ && (faults_.ignore_expiry || now < valid_until_);
}

void LeaseManager::CheckExpiry(TimePoint now, Effects& out) {
  if (held_ && !faults_.ignore_expiry && now >= valid_until_) MarkLost(out);
}

void LeaseManager::MarkLost(Effects& out) {
  held_ = false;
  LogWarning(LogPart::kLease,
             "placer lease lost, epoch " + std::to_string(epoch_));
  out.emplace_back(LeaseLost{epoch_});
}

bool LeaseManager::IsAcquireDue(TimePoint now) const {
  // A row of this host that is not held has expired or belongs to an earlier
  // process of this host. That process is gone, because this one has bound its
  // address, so there is no need to wait.
  if (row_.host == settings_.host) return true;
  if (!table_available_since_) return false;
  const Duration delay =
      settings_.acquire_stagger * static_cast<std::int64_t>(rank_);
  if (row_.host.empty()) return now >= row_seen_at_ + delay;
  const Duration lease = std::max(row_.lease, settings_.lease);
  const TimePoint from = std::max(row_seen_at_, *table_available_since_);
  return now >= from + lease + settings_.clock_drift_margin + delay;
}

void LeaseManager::Tick(TimePoint now, Effects& out) {
  CheckExpiry(now, out);
  if (in_flight_) {
    if (in_flight_->kind != CommitKind::kFencedTransaction &&
        in_flight_->IsRetryDue(now)) {
      in_flight_->awaiting_retry = false;
      out.emplace_back(CommitLease{in_flight_->transaction});
    }
    return;
  }
  if (held_ && stopping_) {
    StartCommit(now, CommitKind::kRelease, MakeRow(HostId(), epoch_), out);
  } else if (held_ && now >= renewed_at_ + settings_.renew_interval) {
    StartCommit(now, CommitKind::kRenew, MakeRow(settings_.host, epoch_), out);
  } else if (!held_ && !stopping_ && IsAcquireDue(now)) {
    const std::uint64_t epoch = row_.epoch + (faults_.keep_epoch ? 0 : 1);
    LeaseRow row = MakeRow(settings_.host, epoch);
    // The commit duration is not known yet, and a shorter lease may expire
    // before the commit's response arrives. The first renewal shortens it.
    row.lease = std::max(row.lease, settings_.max_lease_duration);
    StartCommit(now, CommitKind::kAcquire, row, out);
  }
}

Duration LeaseManager::CurrentLeaseDuration() const {
  const Duration longest =
      std::max(settings_.max_lease_duration, settings_.lease);
  return std::min(
      settings_.lease + kCommitDurationsPerLease * last_commit_duration_,
      longest);
}

LeaseRow LeaseManager::MakeRow(const HostId& host, std::uint64_t epoch) const {
  return LeaseRow{host, settings_.incarnation, epoch, CurrentLeaseDuration(),
                  row_.serial + 1};
}

std::string LeaseManager::NewWriteId() {
  return "lease-" + settings_.host.value() + "-" +
         std::to_string(settings_.incarnation) + "-" +
         std::to_string(next_write_number_++);
}

void LeaseManager::StartCommit(TimePoint now, CommitKind kind,
                               const LeaseRow& row, Effects& out) {
  const std::string key = RowKey(settings_.zone);
  InFlightCommit commit;
  commit.kind = kind;
  commit.written_row = row;
  commit.first_sent_at = now;
  commit.transaction = {
      NewWriteId(), {{key, row_version_}}, {{key, EncodeLeaseRow(row)}}};
  out.emplace_back(CommitLease{commit.transaction});
  in_flight_ = std::move(commit);
}

std::optional<LeaseTransactionPart> LeaseManager::BeginFencedTransaction(
    TimePoint now, const std::string& write_id) {
  if (!IsHeld(now) || in_flight_) return std::nullopt;
  const std::string key = RowKey(settings_.zone);
  InFlightCommit commit;
  commit.kind = CommitKind::kFencedTransaction;
  commit.written_row = MakeRow(settings_.host, epoch_);
  commit.first_sent_at = now;
  commit.transaction.write_id = write_id;
  LeaseTransactionPart part{{key, row_version_},
                            {key, EncodeLeaseRow(commit.written_row)}};
  in_flight_ = std::move(commit);
  return part;
}

void LeaseManager::OnCommit(TimePoint now, const std::string& write_id,
                            const CommitResponse& response, Effects& out) {
  if (!in_flight_ || in_flight_->transaction.write_id != write_id) return;
  const bool definite = response.status == CommitStatus::kCommitted ||
                        response.status == CommitStatus::kConflict;
  const bool batch_dropped =
      in_flight_->kind == CommitKind::kFencedTransaction &&
      response.status == CommitStatus::kNotApplied;
  if (!definite && !batch_dropped) {
    in_flight_->unconfirmed |= response.status == CommitStatus::kUnknown;
    in_flight_->ScheduleRetry(now, settings_.initial_retry_delay,
                              settings_.max_retry_delay);
    CheckExpiry(now, out);
    return;
  }
  const InFlightCommit commit = std::move(*in_flight_);
  in_flight_.reset();
  std::uint64_t version = 0;
  if (response.status == CommitStatus::kCommitted) version = response.revision;
  if (response.status == CommitStatus::kConflict) {
    version = VersionIfCommitted(commit.transaction, response);
  }
  if (version != 0) OnCommitted(now, commit, version, out);
  for (const TableRow& row : response.rows) OnRow(now, row, out);
  CheckExpiry(now, out);
}

void LeaseManager::OnCommitted(TimePoint now, const InFlightCommit& commit,
                               std::uint64_t version, Effects& out) {
  if (version < row_version_) return;  // a newer row has already been applied
  row_version_ = version;
  row_ = commit.written_row;
  row_seen_at_ = now;
  if (commit.kind == CommitKind::kRelease) {
    held_ = false;
    out.emplace_back(LeaseLost{epoch_});
    return;
  }
  const TimePoint from =
      faults_.start_lease_at_answer ? now : commit.first_sent_at;
  last_commit_duration_ = now - commit.first_sent_at;
  const TimePoint until =
      from + commit.written_row.lease - settings_.clock_drift_margin;
  if (commit.kind == CommitKind::kAcquire) {
    // The lease expired before the response arrived.
    if (!faults_.ignore_expiry && now >= until) return;
    held_ = true;
    epoch_ = commit.written_row.epoch;
    LogInfo(LogPart::kLease,
            "placer lease acquired, epoch " + std::to_string(epoch_));
    out.emplace_back(LeaseAcquired{epoch_});
  }
  if (!held_) return;
  valid_until_ = until;
  renewed_at_ = commit.first_sent_at;
}

void LeaseManager::Relinquish(Effects& out) {
  if (held_) MarkLost(out);
}

void LeaseManager::Stop(TimePoint now, Effects& out) {
  stopping_ = true;
  Tick(now, out);
}

bool LeaseManager::IsStopped() const {
  return stopping_ && !held_ && !in_flight_;
}

}  // namespace chivewing
