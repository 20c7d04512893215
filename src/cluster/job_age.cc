#include "cluster/job_age.h"

#include <algorithm>

namespace chivewing {
namespace {

// How far two hosts' reckonings of the table's clock may differ, since the
// responses that carry it are delayed.
constexpr std::chrono::milliseconds kMaxClockDifference{2000};

}  // namespace

std::optional<TimePoint> AcceptedByTableClock(TimePoint now,
                                              const TableClock& table_clock,
                                              const JobRecord& record) {
  const auto present = table_clock.At(now);
  if (!record.accepted_at_table || !present) return std::nullopt;
  if (*record.accepted_at_table > *present + kMaxClockDifference)
    return std::nullopt;
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
