#include "cluster/progress_writer.h"

#include <chrono>
#include <utility>

#include "base/log.h"
#include "cluster/worker_row.h"
#include "store/pending_commit.h"

namespace chivewing {
namespace {

// Rewritten by each progress batch, so that a copy of a batch that arrives late
// takes no effect.
const char* const kBatchRowKey = "placer-batch/all";
constexpr std::chrono::milliseconds kRetryDelay{50};
constexpr std::chrono::seconds kLeftOutLogInterval{1};

// Returns how many checkpoints do not fit into their rows.
std::size_t AddRows(const ProgressWriteBatch& batch,
                    TableTransaction& transaction) {
  std::size_t left_out = 0;
  for (const auto& [id, progress] : batch.jobs) {
    ProgressRowValue row = EncodeProgressRow(progress, kMaxProgressRowBytes);
    left_out += row.checkpoints_left_out;
    if (row.text.size() > kMaxProgressRowBytes) {
      LogError(LogPart::kPlacer,
               "progress row is larger than the table may take job=" +
                   id.value() + " bytes=" + std::to_string(row.text.size()));
    }
    transaction.writes.push_back({ProgressRowKey(id), std::move(row.text)});
  }
  for (const WorkerRegistration& each : batch.enrolled) {
    transaction.writes.push_back(
        {WorkerRowKey(each.worker), EncodeWorkerRow(each)});
  }
  for (const WorkerId& id : batch.removed_workers) {
    transaction.writes.push_back({WorkerRowKey(id), std::nullopt});
  }
  return left_out;
}

}  // namespace

void ProgressWriter::Write(TimePoint now, std::uint64_t generation,
                           std::uint64_t fence, const TableCondition& lease,
                           ProgressWriteBatch batch) {
  TableTransaction transaction;
  transaction.write_id = write_prefix_ + std::to_string(next_write_number_++);
  transaction.conditions = {
      lease, {kBatchRowKey, table_watcher_.cache().version(kBatchRowKey)}};
  transaction.writes.push_back({kBatchRowKey, std::to_string(fence)});
  NoteLeftOut(now, AddRows(batch, transaction));
  batch_ = std::move(batch);
  transaction_ = std::move(transaction);
  generation_ = generation;
  unconfirmed_ = false;
  next_send_ = now;
  Send();
}

void ProgressWriter::NoteLeftOut(TimePoint now, std::size_t checkpoints) {
  if (checkpoints == 0 || now < next_left_out_log_) return;
  next_left_out_log_ = now + kLeftOutLogInterval;
  LogWarning(LogPart::kPlacer,
             "progress rows are too large for all checkpoints; after a "
             "take-over tasks may start without theirs checkpoints=" +
                 std::to_string(checkpoints));
}

TimePoint ProgressWriter::Tick(TimePoint now) {
  if (!busy() || in_flight_) return TimePoint::max();
  if (now < next_send_) return next_send_;
  Send();
  return TimePoint::max();
}

void ProgressWriter::Send() {
  in_flight_ = true;
  table_.commit(transaction_, [this](const CommitResponse& response) {
    callbacks_.post(
        [this, response](TimePoint now) { OnResponse(now, response); });
  });
}

void ProgressWriter::OnResponse(TimePoint now, const CommitResponse& response) {
  in_flight_ = false;
  if (!busy()) return;
  if (response.status == CommitStatus::kUnknown ||
      (response.status == CommitStatus::kNotApplied && unconfirmed_)) {
    unconfirmed_ = true;
    next_send_ = now + kRetryDelay;
    return;
  }
  std::uint64_t version = 0;
  if (response.status == CommitStatus::kCommitted) version = response.revision;
  if (response.status == CommitStatus::kConflict) {
    version = VersionIfCommitted(transaction_, response);
  }
  BatchOutcome outcome =
      version == 0 ? BatchOutcome::kNotWritten : BatchOutcome::kWritten;
  if (response.status == CommitStatus::kRejected)
    outcome = BatchOutcome::kRefused;
  const ProgressWriteBatch batch = std::move(*batch_);
  const TableTransaction transaction = std::move(transaction_);
  batch_.reset();
  for (const TableRow& row : response.rows) table_watcher_.Apply(now, row);
  if (version != 0) {
    std::vector<TableRow> rows;
    for (const TableWrite& write : transaction.writes) {
      rows.push_back({write.key, write.value, version, transaction.write_id});
    }
    callbacks_.on_rows_committed(now, rows);
  }
  callbacks_.on_result(now, generation_, batch, outcome);
}

}  // namespace chivewing
