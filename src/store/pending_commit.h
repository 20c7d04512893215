#pragma once

#include <algorithm>
#include <string>

#include "base/time.h"
#include "store/table.h"

namespace chivewing {

// A transaction on its way to the table, which is sent again under the same
// write id until its answer is definite.
struct PendingCommit {
  TableTransaction transaction;
  // An answer was lost: until a definite one comes, it may have taken effect.
  bool unconfirmed = false;
  // No answer is outstanding; to be sent again at `retry_at`.
  bool awaiting_retry = false;
  TimePoint retry_at;
  Duration backoff{0};

  // Puts off the next sending; the delay doubles from `first` to `last`.
  void ScheduleRetry(TimePoint now, Duration first, Duration last) {
    backoff = std::clamp(backoff * 2, first, last);
    awaiting_retry = true;
    retry_at = now + backoff;
  }
  bool IsRetryDue(TimePoint now) const {
    return awaiting_retry && now >= retry_at;
  }
};

// The version that an earlier sending of the transaction gave its rows, if the
// conflict's rows show that it took effect; else 0. True of transactions with a
// row that nobody else overwrites before their answer has come.
inline std::uint64_t VersionIfCommitted(const TableTransaction& transaction,
                                        const CommitResponse& conflict) {
  for (const TableRow& row : conflict.rows) {
    if (row.write_id == transaction.write_id) return row.version;
  }
  return 0;
}

}  // namespace chivewing
