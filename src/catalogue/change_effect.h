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

// Tells the caller to read the row and pass it to CatalogueChange::OnRead.
struct ReadChangedRow {
  std::string key;
};

// Tells the caller to commit the transaction, not before `at`, and to pass the
// response to CatalogueChange::OnCommit.
struct CommitChange {
  TableTransaction transaction;
  TimePoint at;
};

// The change has ended; exactly one of the three members is set.
struct FinishChange {
  std::vector<TableRow> accepted;  // the committed rows, for the peers
  std::optional<CatalogueConflict> conflict;
  std::optional<Error> error;
};

using ChangeEffect = std::variant<ReadChangedRow, CommitChange, FinishChange>;
using ChangeEffects = std::vector<ChangeEffect>;

}  // namespace chivewing
