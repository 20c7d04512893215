#pragma once

#include <algorithm>
#include <string>

#include "base/time.h"
#include "store/table.h"

namespace chivewing {

// A transaction on its way to the table, which is sent again under the same
// write id until its answer is definite.
struct CommitFlight {
  TableTransaction transaction;
  // An answer was lost: until a definite one comes, it may have taken effect.
  bool in_doubt = false;
  // No answer is outstanding; to be sent again at `retry_at`.
  bool waiting = false;
  TimePoint retry_at;
  Duration backoff{0};

  // Puts off the next sending; the delay doubles from `first` to `last`.
  void Delay(TimePoint now, Duration first, Duration last) {
    backoff = std::clamp(backoff * 2, first, last);
    waiting = true;
    retry_at = now + backoff;
  }
  bool IsDue(TimePoint now) const { return waiting && now >= retry_at; }
};

// The version that an earlier sending of the transaction gave its rows, if the
// conflict's rows show that it took effect; else 0. True of transactions with a
// row that nobody else overwrites before their answer has come.
inline std::uint64_t OwnVersion(const TableTransaction& transaction,
                                const CommitAnswer& conflict) {
  for (const TableRow& row : conflict.rows) {
    if (row.write_id == transaction.write_id) return row.version;
  }
  return 0;
}

}  // namespace chivewing
