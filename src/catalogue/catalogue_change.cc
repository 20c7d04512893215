#include "catalogue/catalogue_change.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{100};

// The record in a row, or one without an entry if the row does not exist.
Result<CatalogueRecord> DecodeRow(const EntryName& name, const TableRow& row) {
  if (row.value) return DecodeCatalogueRecord(name, *row.value, row.version);
  CatalogueRecord record;
  record.name = name;
  return record;
}

const TableRow* FindRow(const CommitResponse& response,
                        const std::string& key) {
  const auto row =
      std::find_if(response.rows.begin(), response.rows.end(),
                   [&key](const TableRow& each) { return each.key == key; });
  return row == response.rows.end() ? nullptr : &*row;
}

}  // namespace

CatalogueChange::CatalogueChange(CatalogueEdit edit, std::string write_id,
                                 TimePoint deadline)
    : edit_(std::move(edit)),
      write_id_(std::move(write_id)),
      deadline_(deadline) {}

void CatalogueChange::Start(ChangeEffects& effects) {
  effects.emplace_back(ReadChangedRow{CatalogueKey(edit_.name)});
}

void CatalogueChange::OnRead(const Result<TableRow>& row,
                             std::chrono::milliseconds wall_now, TimePoint now,
                             ChangeEffects& effects) {
  if (!row) return FinishError(row.error(), effects);
  Result<CatalogueRecord> present = DecodeRow(edit_.name, row.value());
  if (!present) return FinishError(present.error(), effects);
  if (!edit_.entry && !present.value().entry) {
    return FinishError(
        {ResultCode::kNotFound, edit_.name.value() + ": no such entry"},
        effects);
  }
  if (!IsBasedOn(present.value())) {
    return FinishConflict(std::move(present.value()), effects);
  }
  BuildTransaction(present.value(), wall_now);
  effects.emplace_back(CommitChange{transaction_, now});
}

void CatalogueChange::OnCommit(const CommitResponse& response, TimePoint now,
                               ChangeEffects& effects) {
  switch (response.status) {
    case CommitStatus::kCommitted:
      return FinishAccepted(response.revision, effects);
    case CommitStatus::kConflict:
      return OnConflict(response, effects);
    case CommitStatus::kNotApplied:
    case CommitStatus::kRejected:
    case CommitStatus::kUnknown:
      return OnNoResponse(response, now, effects);
  }
}

// Whether the edit is based on the current version. An edit with version 0 also
// creates an entry that was removed.
bool CatalogueChange::IsBasedOn(const CatalogueRecord& present) const {
  if (edit_.version == present.version) return true;
  return edit_.version == 0 && !present.entry;
}

void CatalogueChange::BuildTransaction(const CatalogueRecord& present,
                                       std::chrono::milliseconds wall_now) {
  CatalogueRecord record;
  record.name = edit_.name;
  record.serial = present.serial + 1;
  record.changed_by = edit_.changed_by;
  record.changed_at = wall_now;
  record.entry = edit_.entry;
  const std::string value = EncodeCatalogueRecord(record);
  const std::string key = CatalogueKey(edit_.name);
  const std::string history_key = HistoryKey(edit_.name, record.serial);
  transaction_.write_id = write_id_;
  transaction_.conditions = {{key, present.version}, {history_key, 0}};
  transaction_.writes = {{key, value}, {history_key, value}};
}

void CatalogueChange::OnConflict(const CommitResponse& response,
                                 ChangeEffects& effects) {
  const TableRow* history = FindRow(response, transaction_.writes[1].key);
  if (history != nullptr && history->write_id == write_id_) {
    return FinishAccepted(history->version, effects);
  }
  const TableRow* row = FindRow(response, transaction_.writes[0].key);
  if (row == nullptr) {
    return FinishError(
        {ResultCode::kBadAnswer,
         "the conflict response of the platform lacks the conflicting row"},
        effects);
  }
  Result<CatalogueRecord> present = DecodeRow(edit_.name, *row);
  if (!present) return FinishError(present.error(), effects);
  FinishConflict(std::move(present.value()), effects);
}

void CatalogueChange::OnNoResponse(const CommitResponse& response,
                                   TimePoint now, ChangeEffects& effects) {
  if (response.status == CommitStatus::kUnknown) unconfirmed_ = true;
  const TimePoint next = now + kRetryInterval;
  if (next < deadline_) {
    effects.emplace_back(CommitChange{transaction_, next});
    return;
  }
  if (unconfirmed_) {
    return FinishError(
        {ResultCode::kWriteInDoubt,
         "no answer from the platform before the time-out; show the "
         "entry to see whether the change took effect"},
        effects);
  }
  FinishError({ResultCode::kPlatformUnavailable,
               "the platform is unavailable; nothing was changed"},
              effects);
}

void CatalogueChange::FinishAccepted(std::uint64_t version,
                                     ChangeEffects& effects) const {
  FinishChange finish;
  for (const TableWrite& write : transaction_.writes) {
    finish.accepted.push_back(
        TableRow{write.key, write.value, version, write_id_});
  }
  effects.emplace_back(std::move(finish));
}

void CatalogueChange::FinishConflict(CatalogueRecord present,
                                     ChangeEffects& effects) const {
  FinishChange finish;
  finish.conflict = CatalogueConflict{std::move(present), edit_};
  effects.emplace_back(std::move(finish));
}

void CatalogueChange::FinishError(Error error, ChangeEffects& effects) {
  FinishChange finish;
  finish.error = std::move(error);
  effects.emplace_back(std::move(finish));
}

}  // namespace chivewing
