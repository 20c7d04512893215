#include "lease/lease_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// A lease is extended by this many commit durations: one for the renewal, one
// for a commit in flight before it, and two as reserve.
constexpr int kCommitDurationsPerLease = 4;
// Length in a lease row whose renewals are separate. It counts for hosts of
// earlier versions only, which do not see the renewals.
constexpr Duration kLeaseOfUnrenewedRow = std::chrono::minutes(1);
// Two hosts' reckonings of the table's clock may differ by so much, since the
// responses that carry it are delayed.
constexpr std::chrono::milliseconds kTableClockMargin{300};

}  // namespace

LeaseManager::LeaseManager(TimePoint now, LeaseSettings settings,
                           LeaseFaultInjection faults)
    : settings_(std::move(settings)), faults_(faults), row_seen_at_(now) {}

std::string LeaseManager::RowKey(const ZoneId& zone) {
  return "placer/" + zone.value();
}

std::string LeaseManager::RenewalRowKey(const ZoneId& zone) {
  return "placer-renewal/" + zone.value();
}

void LeaseManager::OnRow(TimePoint now, const TableRow& row, Effects& out) {
  if (row.key == RowKey(settings_.zone)) {
    ApplyRow(now, row, out);
  } else if (settings_.separate_renewals &&
             row.key == RenewalRowKey(settings_.zone)) {
    ApplyRenewalRow(now, row);
  }
}

void LeaseManager::ApplyRenewalRow(TimePoint now, const TableRow& row) {
  if (row.version <= renewal_version_) return;
  const std::optional<LeaseRow> parsed =
      row.value ? DecodeLeaseRow(*row.value) : LeaseRow{};
  if (!parsed)
    LogError(
        LogPart::kLease,
        "the renewal row cannot be decoded; the lease row's length counts");
  renewal_ = parsed.value_or(LeaseRow{});
  DropUnsteadyTime(renewal_);
  renewal_version_ = row.version;
  row_seen_at_ = now;
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
  DropUnsteadyTime(row_);
  row_.epoch = std::max(row_.epoch, epoch);
  row_version_ = row.version;
  row_seen_at_ = now;
  // A row of this process with the held epoch is a renewal whose response has
  // not arrived yet: the lease stays valid until the time known before.
  if (held_ && !(IsHeldByThisProcess() && row_.epoch == epoch_)) MarkLost(out);
}

void LeaseManager::DropUnsteadyTime(LeaseRow& row) {
  if (!row.sent_at_table) return;
  if (!newest_sent_at_table_) newest_sent_at_table_ = row.sent_at_table;
  if (*row.sent_at_table + kTableClockMargin < *newest_sent_at_table_) {
    LogWarning(LogPart::kLease,
               "the table's clock has started again; the lease is reckoned by "
               "when its rows are seen");
    row.sent_at_table.reset();
    return;
  }
  newest_sent_at_table_ = std::max(*newest_sent_at_table_, *row.sent_at_table);
}

bool LeaseManager::IsHeldByThisProcess() const {
  return row_.host == settings_.host &&
         row_.incarnation == settings_.incarnation;
}

bool LeaseManager::IsHeld(TimePoint now) const {
  return held_ && !IsReleasing(now) &&
         (faults_.ignore_expiry || now < valid_until_);
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

// A renewal of an earlier epoch says nothing about the present holder, which
// may be of a version that renews the lease row itself.
bool LeaseManager::IsRenewed() const {
  return settings_.separate_renewals && renewal_.epoch >= row_.epoch;
}

Duration LeaseManager::WrittenLease() const {
  return std::max(IsRenewed() ? renewal_.lease : row_.lease, settings_.lease);
}

TimePoint LeaseManager::AcquireDueAt() const {
  // A row of this host that is not held has expired or belongs to an earlier
  // process of this host. That process is gone, because this one has bound its
  // address, so there is no need to wait.
  if (row_.host == settings_.host) return row_seen_at_;
  if (!table_available_since_) return TimePoint::max();
  const Duration delay =
      settings_.acquire_stagger * static_cast<std::int64_t>(rank_);
  if (row_.host.empty()) return row_seen_at_ + delay;
  const TimePoint from = std::max(row_seen_at_, *table_available_since_);
  return from + WrittenLease() + settings_.clock_drift_margin + delay;
}

// The row shows the last renewal that took effect, and when it was sent; this
// host may have seen it much later. A holder that has released the lease had
// stopped before.
TimePoint LeaseManager::HolderEndsBy(TimePoint now) const {
  if (row_.host == settings_.host) return now;
  if (row_.host.empty()) return row_seen_at_;
  const TimePoint by_sight = row_seen_at_ + WrittenLease();
  const std::optional<milliseconds> sent_at_table =
      IsRenewed() ? renewal_.sent_at_table : row_.sent_at_table;
  if (!sent_at_table) return by_sight;
  const std::optional<TimePoint> sent_at =
      table_clock_.ToLocal(now, *sent_at_table);
  if (!sent_at) return by_sight;
  return std::min(by_sight, *sent_at + WrittenLease() + kTableClockMargin);
}

void LeaseManager::Tick(TimePoint now, Effects& out) {
  CheckExpiry(now, out);
  if (in_flight_) {
    SendAgainOrAbandon(now, out);
    return;
  }
  if (held_ && IsReleasing(now)) {
    StartCommit(now, CommitKind::kRelease, MakeRow(now, HostId(), epoch_), out);
  } else if (held_ && now >= renewed_at_ + settings_.renew_interval) {
    StartCommit(now, CommitKind::kRenew, MakeRow(now, settings_.host, epoch_),
                out);
  } else if (!held_ && !IsReleasing(now) && IsAcquireDue(now)) {
    const std::uint64_t epoch = row_.epoch + (faults_.keep_epoch ? 0 : 1);
    LeaseRow row = MakeRow(now, settings_.host, epoch);
    // The commit duration is not known yet, and a shorter lease may expire
    // before the commit's response arrives. The first renewal shortens it.
    row.lease = std::max(row.lease, settings_.max_lease_duration);
    predecessor_ended_by_ = HolderEndsBy(now);
    StartCommit(now, CommitKind::kAcquire, row, out);
  }
}

void LeaseManager::SendAgainOrAbandon(TimePoint now, Effects& out) {
  if (in_flight_->kind == CommitKind::kFencedTransaction ||
      !in_flight_->IsRetryDue(now)) {
    return;
  }
  // An acquisition sent before an outage of the table must not replace the
  // holder at its end. If it has taken effect, the row shows it.
  if (in_flight_->kind == CommitKind::kAcquire && !IsAcquireDue(now)) {
    LogInfo(LogPart::kLease, "acquisition abandoned, the table was away");
    in_flight_.reset();
    return;
  }
  in_flight_->awaiting_retry = false;
  out.emplace_back(CommitLease{in_flight_->transaction});
}

TimePoint LeaseManager::NextTick(TimePoint now) const {
  if (in_flight_) {
    const TimePoint retry =
        in_flight_->awaiting_retry ? in_flight_->retry_at : TimePoint::max();
    return held_ ? std::min(retry, valid_until_) : retry;
  }
  if (held_ && IsReleasing(now)) return now;
  if (held_) return renewed_at_ + settings_.renew_interval;
  if (stopping_) return TimePoint::max();
  return std::max({now, handed_over_until_, AcquireDueAt()});
}

Duration LeaseManager::CurrentLeaseDuration() const {
  const Duration longest =
      std::max(settings_.max_lease_duration, settings_.lease);
  return std::min(
      settings_.lease + kCommitDurationsPerLease * last_commit_duration_,
      longest);
}

LeaseRow LeaseManager::MakeRow(TimePoint now, const HostId& host,
                               std::uint64_t epoch) const {
  return LeaseRow{host,
                  settings_.incarnation,
                  epoch,
                  CurrentLeaseDuration(),
                  row_.serial + 1,
                  table_clock_.At(now)};
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
  TableTransaction& transaction = commit.transaction;
  transaction.write_id = NewWriteId();
  transaction.conditions.push_back({key, row_version_});
  if (settings_.separate_renewals) {
    const std::string renewal = RenewalRowKey(settings_.zone);
    transaction.conditions.push_back({renewal, renewal_version_});
    transaction.writes.push_back({renewal, EncodeLeaseRow(row)});
  }
  if (kind != CommitKind::kRenew || !settings_.separate_renewals) {
    LeaseRow lease_row = row;
    if (settings_.separate_renewals) lease_row.lease = kLeaseOfUnrenewedRow;
    transaction.writes.push_back({key, EncodeLeaseRow(lease_row)});
  }
  out.emplace_back(CommitLease{commit.transaction});
  if (kind == CommitKind::kRenew) LimitTo(now, row);
  in_flight_ = std::move(commit);
}

void LeaseManager::LimitTo(TimePoint now, const LeaseRow& row) {
  valid_until_ =
      std::min(valid_until_, now + row.lease - settings_.clock_drift_margin);
}

std::optional<TableCondition> LeaseManager::FenceCondition(
    TimePoint now) const {
  if (!IsHeld(now)) return std::nullopt;
  return TableCondition{RowKey(settings_.zone), row_version_};
}

std::optional<LeaseTransactionPart> LeaseManager::BeginFencedTransaction(
    TimePoint now, const std::string& write_id) {
  if (!IsHeld(now) || in_flight_) return std::nullopt;
  const std::string key = RowKey(settings_.zone);
  InFlightCommit commit;
  commit.kind = CommitKind::kFencedTransaction;
  commit.written_row = MakeRow(now, settings_.host, epoch_);
  commit.first_sent_at = now;
  commit.transaction.write_id = write_id;
  LeaseTransactionPart part{{key, row_version_},
                            {key, EncodeLeaseRow(commit.written_row)}};
  LimitTo(now, commit.written_row);
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
      IsNotApplied(response.status);
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
  newest_sent_at_table_ =
      std::max(newest_sent_at_table_, commit.written_row.sent_at_table);
  if (settings_.separate_renewals) {
    renewal_version_ = std::max(renewal_version_, version);
    renewal_ = commit.written_row;
  }
  if (commit.kind != CommitKind::kRenew || !settings_.separate_renewals) {
    row_version_ = version;
    row_ = commit.written_row;
  }
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

void LeaseManager::HandOver(TimePoint now, TimePoint until, Effects& out) {
  if (!held_) return;
  handed_over_until_ = until;
  Tick(now, out);
}

void LeaseManager::Stop(TimePoint now, Effects& out) {
  stopping_ = true;
  Tick(now, out);
}

bool LeaseManager::IsStopped() const {
  return stopping_ && !held_ && !in_flight_;
}

}  // namespace chivewing
