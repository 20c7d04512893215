#include "cluster/job_age.h"

#include <algorithm>

namespace chivewing {

std::optional<TimePoint> AcceptedByTableClock(TimePoint now,
                                              const TableClock& table_clock,
                                              const JobRecord& record) {
  if (!record.accepted_at_table) return std::nullopt;
  return table_clock.ToLocal(now, *record.accepted_at_table);
}

TimePoint AcceptedAt(TimePoint now, std::chrono::milliseconds wall,
                     const TableClock& table_clock, const JobRecord& record) {
  const auto local = AcceptedByTableClock(now, table_clock, record);
  if (local) return *local;
  return now -
         std::max(std::chrono::milliseconds(0), wall - record.accepted_at);
}

}  // namespace chivewing
