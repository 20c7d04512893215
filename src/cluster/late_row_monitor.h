#pragma once

#include <cstdint>

#include "base/line_budget.h"
#include "base/time.h"
#include "store/table.h"

namespace chivewing {

// Counts and logs rows that reach a dispatching host only after it has begun to
// dispatch, though they were in the table when it acquired its lease: it began
// with older rows, and may have started tasks that these show as done. Decides
// nothing. Does no I/O apart from logging.
class LateRowMonitor {
 public:
  // Dispatching begins. The lease was acquired by version `acquired_at` of the
  // table, and the rows are known up to version `known_to`.
  void Begin(std::uint64_t acquired_at, std::uint64_t known_to);
  // Called while the host dispatches, for each row that is new to it.
  void OnRow(TimePoint now, const TableRow& row);

  std::uint64_t count() const { return count_; }

 private:
  std::uint64_t acquired_at_ = 0;
  std::uint64_t known_to_ = 0;
  std::uint64_t count_ = 0;
  LineBudget lines_{1};
};

}  // namespace chivewing
