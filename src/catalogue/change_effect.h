#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "catalogue/catalogue_messages.h"
#include "store/table.h"

namespace chivewing {

// Read the row and give it to CatalogueChange::OnRead.
struct ReadChangedRow {
  std::string key;
};

// Commit the transaction, not before `at`, and give the answer to
// CatalogueChange::OnCommit.
struct CommitChange {
  TableTransaction transaction;
  TimePoint at;
};

// The change is over; exactly one of the three is set.
struct FinishChange {
  std::vector<TableRow> accepted;  // the rows now in force, for the peers
  std::optional<CatalogueConflict> conflict;
  std::optional<Error> error;
};

using ChangeEffect = std::variant<ReadChangedRow, CommitChange, FinishChange>;
using ChangeEffects = std::vector<ChangeEffect>;

}  // namespace chivewing
