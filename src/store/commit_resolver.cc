#include "store/commit_resolver.h"

#include <algorithm>
#include <string>
#include <utility>

namespace chivewing {
namespace {

constexpr int kMaxDoublings = 16;

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

bool HasConditionAndWrite(const TableTransaction& transaction,
                          const std::string& key) {
  return FindCondition(transaction, key) != nullptr &&
         IsWritten(transaction, key);
}

bool HasConditionalWrite(const TableTransaction& transaction) {
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
bool ProvesNotApplied(const TableTransaction& transaction,
                      const TableRow& row) {
  if (!HasConditionAndWrite(transaction, row.key)) return false;
  if (row.key == transaction.commit_marker_key) return true;
  return row.version == FindCondition(transaction, row.key)->version;
}

}  // namespace

CommitResolver::CommitResolver(CommitResolverOptions options,
                               std::uint64_t seed)
    : options_(options), random_(seed) {}

Result<std::uint64_t> CommitResolver::Submit(TableTransaction transaction,
                                             std::vector<CommitEffect>& out) {
  if (!HasConditionalWrite(transaction)) {
    return Error{ResultCode::kBadRequest,
                 "transaction rejected: no written row has a condition"};
  }
  const std::string& commit_marker_key = transaction.commit_marker_key;
  if (!commit_marker_key.empty() &&
      !HasConditionAndWrite(transaction, commit_marker_key)) {
    return Error{
        ResultCode::kBadRequest,
        "transaction rejected: commit marker key needs a condition and "
        "a write"};
  }
  const std::uint64_t id = ++last_id_;
  out.emplace_back(SendCommit{.id = id, .transaction = transaction});
  transactions_.emplace(
      id, InFlightTransaction{.transaction = std::move(transaction)});
  return id;
}

void CommitResolver::OnAnswer(TimePoint now, std::uint64_t id,
                              CommitResponse response,
                              std::vector<CommitEffect>& out) {
  const auto found = transactions_.find(id);
  if (found == transactions_.end()) return;
  InFlightTransaction& entry = found->second;
  if (response.status == CommitStatus::kCommitted) {
    Resolve(id, CommitOutcome::kCommitted, response.revision, {}, out);
    return;
  }
  if (response.status != CommitStatus::kConflict) {
    entry.unconfirmed |= response.status == CommitStatus::kUnknown;
    entry.retry_at = now + NextBackoff(entry.failures++);
    return;
  }
  const std::string& write_id = entry.transaction.write_id;
  const auto own_row = std::find_if(
      response.rows.begin(), response.rows.end(),
      [&write_id](const TableRow& row) { return row.write_id == write_id; });
  if (own_row != response.rows.end()) {
    Resolve(id, CommitOutcome::kCommitted, own_row->version, {}, out);
    return;
  }
  const bool not_applied =
      std::any_of(response.rows.begin(), response.rows.end(),
                  [&entry](const TableRow& row) {
                    return ProvesNotApplied(entry.transaction, row);
                  });
  const CommitOutcome outcome = entry.unconfirmed && !not_applied
                                    ? CommitOutcome::kAmbiguous
                                    : CommitOutcome::kConflict;
  Resolve(id, outcome, 0, std::move(response.rows), out);
}

void CommitResolver::Resolve(std::uint64_t id, CommitOutcome outcome,
                             std::uint64_t revision, std::vector<TableRow> rows,
                             std::vector<CommitEffect>& out) {
  auto node = transactions_.extract(id);
  out.emplace_back(
      CommitResolved{.id = id,
                     .outcome = outcome,
                     .revision = revision,
                     .rows = std::move(rows),
                     .transaction = std::move(node.mapped().transaction)});
}

Duration CommitResolver::NextBackoff(int failures) {
  const int doublings = std::min(failures, kMaxDoublings);
  const Duration longest = options_.max_backoff;
  const Duration full =
      std::min(longest, Duration(options_.initial_backoff) * (1 << doublings));
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const auto count = static_cast<double>(full.count()) * jitter(random_);
  return Duration(static_cast<Duration::rep>(count));
}

void CommitResolver::Tick(TimePoint now, std::vector<CommitEffect>& out) {
  for (auto& [id, entry] : transactions_) {
    if (!entry.retry_at || *entry.retry_at > now) continue;
    entry.retry_at.reset();
    out.emplace_back(SendCommit{.id = id, .transaction = entry.transaction});
  }
}

std::optional<TableTransaction> CommitResolver::Abandon(std::uint64_t id) {
  auto node = transactions_.extract(id);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped().transaction);
}

std::optional<TimePoint> CommitResolver::next_retry_time() const {
  std::optional<TimePoint> next;
  for (const auto& [id, entry] : transactions_) {
    if (!entry.retry_at) continue;
    next = next ? std::min(*next, *entry.retry_at) : *entry.retry_at;
  }
  return next;
}

bool CommitResolver::in_doubt(std::uint64_t id) const {
  const auto found = transactions_.find(id);
  return found != transactions_.end() && found->second.unconfirmed;
}

}  // namespace chivewing
