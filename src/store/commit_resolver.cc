#include "store/commit_resolver.h"

#include <algorithm>
#include <string>
#include <utility>

namespace chivewing {
namespace {

constexpr int kMostDoublings = 16;

const TableCondition* FindCondition(const TableTransaction& transaction,
                                    const std::string& key) {
  const auto found = std::find_if(
      transaction.conditions.begin(), transaction.conditions.end(),
      [&key](const TableCondition& each) { return each.key == key; });
  return found == transaction.conditions.end() ? nullptr : &*found;
}

bool IsWritten(const TableTransaction& transaction, const std::string& key) {
  return std::any_of(
      transaction.writes.begin(), transaction.writes.end(),
      [&key](const TableWrite& each) { return each.key == key; });
}

bool IsInBothLists(const TableTransaction& transaction,
                   const std::string& key) {
  return FindCondition(transaction, key) != nullptr &&
         IsWritten(transaction, key);
}

bool HasGuardedWrite(const TableTransaction& transaction) {
  return std::any_of(transaction.conditions.begin(),
                     transaction.conditions.end(),
                     [&transaction](const TableCondition& each) {
                       return IsWritten(transaction, each.key);
                     });
}

// Whether the current row proves that the transaction did not take effect: the
// transaction would have written the row, and the row either still has the
// version of the condition or is the commit marker, which nobody overwrites.
// The caller has already checked that the row lacks the write id.
bool DisprovesEffect(const TableTransaction& transaction, const TableRow& row) {
  if (!IsInBothLists(transaction, row.key)) return false;
  if (row.key == transaction.commit_marker_key) return true;
  return row.version == FindCondition(transaction, row.key)->version;
}

}  // namespace

CommitResolver::CommitResolver(CommitResolverOptions options,
                               std::uint64_t seed)
    : options_(options), random_(seed) {}

Result<std::uint64_t> CommitResolver::Submit(TableTransaction transaction,
                                             std::vector<CommitEffect>& out) {
  if (!HasGuardedWrite(transaction)) {
    return Error{ResultCode::kBadRequest,
                 "transaction rejected: no written row has a condition"};
  }
  const std::string& proof_key = transaction.commit_marker_key;
  if (!proof_key.empty() && !IsInBothLists(transaction, proof_key)) {
    return Error{
        ResultCode::kBadRequest,
        "transaction rejected: commit marker key needs a condition and "
        "a write"};
  }
  const std::uint64_t id = ++last_id_;
  out.emplace_back(SendCommit{.id = id, .transaction = transaction});
  flights_.emplace(id, Flight{.transaction = std::move(transaction)});
  return id;
}

void CommitResolver::OnAnswer(TimePoint now, std::uint64_t id,
                              CommitResponse answer,
                              std::vector<CommitEffect>& out) {
  const auto found = flights_.find(id);
  if (found == flights_.end()) return;
  Flight& flight = found->second;
  if (answer.status == CommitStatus::kCommitted) {
    End(id, CommitOutcome::kCommitted, answer.revision, {}, out);
    return;
  }
  if (answer.status != CommitStatus::kConflict) {
    flight.unconfirmed |= answer.status == CommitStatus::kUnknown;
    flight.resend = now + NextBackoff(flight.failures++);
    return;
  }
  const std::string& write_id = flight.transaction.write_id;
  const auto ours = std::find_if(
      answer.rows.begin(), answer.rows.end(),
      [&write_id](const TableRow& row) { return row.write_id == write_id; });
  if (ours != answer.rows.end()) {
    End(id, CommitOutcome::kCommitted, ours->version, {}, out);
    return;
  }
  const bool disproved = std::any_of(
      answer.rows.begin(), answer.rows.end(), [&flight](const TableRow& row) {
        return DisprovesEffect(flight.transaction, row);
      });
  const CommitOutcome outcome = flight.unconfirmed && !disproved
                                    ? CommitOutcome::kAmbiguous
                                    : CommitOutcome::kConflict;
  End(id, outcome, 0, std::move(answer.rows), out);
}

void CommitResolver::End(std::uint64_t id, CommitOutcome outcome,
                         std::uint64_t revision, std::vector<TableRow> rows,
                         std::vector<CommitEffect>& out) {
  auto node = flights_.extract(id);
  out.emplace_back(
      CommitResolved{.id = id,
                     .outcome = outcome,
                     .revision = revision,
                     .rows = std::move(rows),
                     .transaction = std::move(node.mapped().transaction)});
}

Duration CommitResolver::NextBackoff(int failures) {
  const int doublings = std::min(failures, kMostDoublings);
  const Duration longest = options_.max_backoff;
  const Duration full =
      std::min(longest, Duration(options_.initial_backoff) * (1 << doublings));
  std::uniform_real_distribution<double> share(0.5, 1.0);
  const auto count = static_cast<double>(full.count()) * share(random_);
  return Duration(static_cast<Duration::rep>(count));
}

void CommitResolver::Tick(TimePoint now, std::vector<CommitEffect>& out) {
  for (auto& [id, flight] : flights_) {
    if (!flight.resend || *flight.resend > now) continue;
    flight.resend.reset();
    out.emplace_back(SendCommit{.id = id, .transaction = flight.transaction});
  }
}

std::optional<TableTransaction> CommitResolver::Abandon(std::uint64_t id) {
  auto node = flights_.extract(id);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped().transaction);
}

std::optional<TimePoint> CommitResolver::next_retry_time() const {
  std::optional<TimePoint> next;
  for (const auto& [id, flight] : flights_) {
    if (!flight.resend) continue;
    next = next ? std::min(*next, *flight.resend) : *flight.resend;
  }
  return next;
}

bool CommitResolver::in_doubt(std::uint64_t id) const {
  const auto found = flights_.find(id);
  return found != flights_.end() && found->second.unconfirmed;
}

}  // namespace chivewing
