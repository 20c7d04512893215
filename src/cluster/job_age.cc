#include "cluster/job_age.h"

#include <algorithm>
#include <optional>

namespace chivewing {

TimePoint AcceptedAt(TimePoint now, std::chrono::milliseconds wall,
                     const TableClock& table_clock, const JobRecord& record) {
  if (record.accepted_at_table) {
    const std::optional<TimePoint> local =
        table_clock.ToLocal(now, *record.accepted_at_table);
    if (local) return *local;
  }
  return now -
         std::max(std::chrono::milliseconds(0), wall - record.accepted_at);
}

}  // namespace chivewing
