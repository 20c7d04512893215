#include "lease/lease_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

// A lease is this many commits longer than the usual one: the renewal, one that
// is under way before it, and as much to spare.
constexpr int kCommitsInLease = 4;

}  // namespace

LeaseManager::LeaseManager(TimePoint now, LeaseSettings settings,
                           LeaseFaultInjection faults)
    : settings_(std::move(settings)), faults_(faults), seen_at_(now) {}

std::string LeaseManager::RowKey(const ZoneId& zone) {
  return "placer/" + zone.value();
}

void LeaseManager::OnRow(TimePoint now, const TableRow& row, Effects& out) {
  if (row.key == RowKey(settings_.zone)) See(now, row, out);
}

void LeaseManager::See(TimePoint now, const TableRow& row, Effects& out) {
  if (row.version <= version_) return;
  const std::optional<LeaseRow> parsed =
      row.value ? DecodeLeaseRow(*row.value) : LeaseRow{};
  if (!parsed) LogError(LogPart::kLease, "the lease row cannot be read");
  const std::uint64_t epoch = row_.epoch;
  row_ = parsed.value_or(LeaseRow{});
  row_.epoch = std::max(row_.epoch, epoch);
  version_ = row.version;
  seen_at_ = now;
  // A row of this process with the held epoch is a renewal whose answer is
  // still to come: the lease runs on as counted before.
  if (held_ && !(IsMine() && row_.epoch == epoch_)) Lose(out);
}

bool LeaseManager::IsMine() const {
  return row_.host == settings_.host &&
         row_.incarnation == settings_.incarnation;
}

bool LeaseManager::IsHeld(TimePoint now) const {
  return held_ && !stopping_ && (faults_.ignore_expiry || now < valid_until_);
}

void LeaseManager::CheckLapse(TimePoint now, Effects& out) {
  if (held_ && !faults_.ignore_expiry && now >= valid_until_) Lose(out);
}

void LeaseManager::Lose(Effects& out) {
  held_ = false;
  LogWarning(LogPart::kLease,
             "placer lease lost, epoch " + std::to_string(epoch_));
  out.emplace_back(LeaseLost{epoch_});
}

bool LeaseManager::IsTakingDue(TimePoint now) const {
  // An own row that is not held has lapsed or is of an earlier process of this
  // host, whose address this one has bound: nobody has to be waited for.
  if (row_.host == settings_.host) return true;
  if (!table_since_) return false;
  const Duration delay =
      settings_.acquire_stagger * static_cast<std::int64_t>(rank_);
  if (row_.host.empty()) return now >= seen_at_ + delay;
  const Duration lease = std::max(row_.lease, settings_.lease);
  const TimePoint from = std::max(seen_at_, *table_since_);
  return now >= from + lease + settings_.clock_drift_margin + delay;
}

void LeaseManager::Tick(TimePoint now, Effects& out) {
  CheckLapse(now, out);
  if (flight_) {
    if (flight_->kind != Kind::kBatch && flight_->IsRetryDue(now)) {
      flight_->awaiting_retry = false;
      out.emplace_back(CommitLease{flight_->transaction});
    }
    return;
  }
  if (held_ && stopping_) {
    Send(now, Kind::kRelease, NextRow(HostId(), epoch_), out);
  } else if (held_ && now >= renewed_at_ + settings_.renew_interval) {
    Send(now, Kind::kRenew, NextRow(settings_.host, epoch_), out);
  } else if (!held_ && !stopping_ && IsTakingDue(now)) {
    const std::uint64_t epoch = row_.epoch + (faults_.keep_epoch ? 0 : 1);
    LeaseRow row = NextRow(settings_.host, epoch);
    // How long commits take now is not known yet: a shorter lease may be over
    // before its commit is answered. The first renewal shortens it.
    row.lease = std::max(row.lease, settings_.max_lease_duration);
    Send(now, Kind::kTake, row, out);
  }
}

Duration LeaseManager::LeaseLength() const {
  const Duration longest =
      std::max(settings_.max_lease_duration, settings_.lease);
  return std::min(settings_.lease + kCommitsInLease * commit_time_, longest);
}

LeaseRow LeaseManager::NextRow(const HostId& host, std::uint64_t epoch) const {
  return LeaseRow{host, settings_.incarnation, epoch, LeaseLength(),
                  row_.serial + 1};
}

std::string LeaseManager::NewWriteId() {
  return "lease-" + settings_.host.value() + "-" +
         std::to_string(settings_.incarnation) + "-" +
         std::to_string(next_write_++);
}

void LeaseManager::Send(TimePoint now, Kind kind, const LeaseRow& row,
                        Effects& out) {
  const std::string key = RowKey(settings_.zone);
  Flight flight;
  flight.kind = kind;
  flight.written = row;
  flight.sent_at = now;
  flight.transaction = {
      NewWriteId(), {{key, version_}}, {{key, EncodeLeaseRow(row)}}};
  out.emplace_back(CommitLease{flight.transaction});
  flight_ = std::move(flight);
}

std::optional<LeaseTransactionPart> LeaseManager::BeginFencedTransaction(
    TimePoint now, const std::string& write_id) {
  if (!IsHeld(now) || flight_) return std::nullopt;
  const std::string key = RowKey(settings_.zone);
  Flight flight;
  flight.kind = Kind::kBatch;
  flight.written = NextRow(settings_.host, epoch_);
  flight.sent_at = now;
  flight.transaction.write_id = write_id;
  LeaseTransactionPart guard{{key, version_},
                             {key, EncodeLeaseRow(flight.written)}};
  flight_ = std::move(flight);
  return guard;
}

void LeaseManager::OnCommit(TimePoint now, const std::string& write_id,
                            const CommitResponse& answer, Effects& out) {
  if (!flight_ || flight_->transaction.write_id != write_id) return;
  const bool definite = answer.status == CommitStatus::kCommitted ||
                        answer.status == CommitStatus::kConflict;
  const bool batch_dropped = flight_->kind == Kind::kBatch &&
                             answer.status == CommitStatus::kNotApplied;
  if (!definite && !batch_dropped) {
    flight_->unconfirmed |= answer.status == CommitStatus::kUnknown;
    flight_->ScheduleRetry(now, settings_.initial_retry_delay,
                           settings_.max_retry_delay);
    CheckLapse(now, out);
    return;
  }
  const Flight flight = std::move(*flight_);
  flight_.reset();
  std::uint64_t version = 0;
  if (answer.status == CommitStatus::kCommitted) version = answer.revision;
  if (answer.status == CommitStatus::kConflict) {
    version = VersionIfCommitted(flight.transaction, answer);
  }
  if (version != 0) OnCommitted(now, flight, version, out);
  for (const TableRow& row : answer.rows) OnRow(now, row, out);
  CheckLapse(now, out);
}

void LeaseManager::OnCommitted(TimePoint now, const Flight& flight,
                               std::uint64_t version, Effects& out) {
  if (version < version_) return;  // a newer row was seen and dealt with
  version_ = version;
  row_ = flight.written;
  seen_at_ = now;
  if (flight.kind == Kind::kRelease) {
    held_ = false;
    out.emplace_back(LeaseLost{epoch_});
    return;
  }
  const TimePoint from = faults_.start_lease_at_answer ? now : flight.sent_at;
  commit_time_ = now - flight.sent_at;
  const TimePoint until =
      from + flight.written.lease - settings_.clock_drift_margin;
  if (flight.kind == Kind::kTake) {
    if (!faults_.ignore_expiry && now >= until) return;  // already over
    held_ = true;
    epoch_ = flight.written.epoch;
    LogInfo(LogPart::kLease,
            "placer lease taken, epoch " + std::to_string(epoch_));
    out.emplace_back(LeaseAcquired{epoch_});
  }
  if (!held_) return;
  valid_until_ = until;
  renewed_at_ = flight.sent_at;
}

void LeaseManager::Relinquish(Effects& out) {
  if (held_) Lose(out);
}

void LeaseManager::Stop(TimePoint now, Effects& out) {
  stopping_ = true;
  Tick(now, out);
}

bool LeaseManager::IsStopped() const { return stopping_ && !held_ && !flight_; }

}  // namespace chivewing
