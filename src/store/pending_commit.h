#pragma once

#include <algorithm>
#include <string>

#include "base/time.h"
#include "store/table.h"

namespace chivewing {

// A transaction that is sent to the table, with the same write id each time,
// until it gets a definite response. Retry state only; no I/O.
struct PendingCommit {
  TableTransaction transaction;
  // True after a response was lost: the transaction may have taken effect.
  bool unconfirmed = false;
  // True while no response is outstanding and it is to be sent at `retry_at`.
  bool awaiting_retry = false;
  TimePoint retry_at;
  Duration backoff{0};

  // Schedules the next attempt. The delay doubles from `first` up to `last`.
  void ScheduleRetry(TimePoint now, Duration first, Duration last) {
    backoff = std::clamp(backoff * 2, first, last);
    awaiting_retry = true;
    retry_at = now + backoff;
  }
  bool IsRetryDue(TimePoint now) const {
    return awaiting_retry && now >= retry_at;
  }
};

// The version written by an earlier attempt of the transaction if the rows of
// the conflict show that it took effect, else 0. Reliable only for transactions
// that write a row which nobody else overwrites before their response arrives.
inline std::uint64_t VersionIfCommitted(const TableTransaction& transaction,
                                        const CommitResponse& conflict) {
  for (const TableRow& row : conflict.rows) {
    if (row.write_id == transaction.write_id) return row.version;
  }
  return 0;
}

}  // namespace chivewing
