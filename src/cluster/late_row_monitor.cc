#include "cluster/late_row_monitor.h"

#include <optional>
#include <string>

#include "base/log.h"
#include "cluster/worker_row.h"
#include "dispatch/job_record.h"

namespace chivewing {

void LateRowMonitor::Begin(std::uint64_t acquired_at, std::uint64_t known_to) {
  acquired_at_ = acquired_at;
  known_to_ = known_to;
}

void LateRowMonitor::OnRow(TimePoint now, const TableRow& row) {
  if (row.version > acquired_at_) return;
  const bool is_dispatched_on =
      row.key.starts_with(kJobRows) || row.key.starts_with(kProgressRows) ||
      row.key.starts_with(kCancelRows) || row.key.starts_with(kWorkerRowPrefix);
  if (!is_dispatched_on) return;
  ++count_;
  const std::optional<std::uint64_t> unwritten = lines_.Admit(now);
  if (!unwritten) return;
  LogWarning(LogPart::kPlacer,
             "a row that is older than the lease has come after dispatching "
             "began key=" +
                 row.key + " version=" + std::to_string(row.version) +
                 " lease_version=" + std::to_string(acquired_at_) +
                 " rows_known_to=" + std::to_string(known_to_) +
                 " late_rows=" + std::to_string(count_) +
                 " lines_left_out=" + std::to_string(*unwritten));
}

}  // namespace chivewing
