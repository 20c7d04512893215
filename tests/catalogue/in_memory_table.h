#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "store/table.h"

namespace chivewing {

// A table in memory that checks conditions on commit as the platform's table
// does.
class InMemoryTable {
 public:
  TableRow Read(const std::string& key) const {
    const auto row = rows_.find(key);
    return row == rows_.end() ? TableRow{key, {}, 0, ""} : row->second;
  }

  CommitResponse Commit(const TableTransaction& transaction) {
    CommitResponse response;
    for (const TableCondition& condition : transaction.conditions) {
      const TableRow row = Read(condition.key);
      response.rows.push_back(row);
      if (row.version != condition.version) {
        response.status = CommitStatus::kConflict;
      }
    }
    if (response.status == CommitStatus::kConflict) return response;
    ++revision_;
    for (const TableWrite& write : transaction.writes) {
      rows_[write.key] =
          TableRow{write.key, write.value, revision_, transaction.write_id};
    }
    return CommitResponse{CommitStatus::kCommitted, revision_, {}};
  }

  const std::map<std::string, TableRow>& rows() const { return rows_; }

 private:
  std::map<std::string, TableRow> rows_;
  std::uint64_t revision_ = 0;
};

}  // namespace chivewing
