#pragma once

#include <chrono>
#include <optional>

#include "base/time.h"
#include "dispatch/job_record.h"
#include "store/table_clock.h"

namespace chivewing {

// When a job was accepted, on this host's clock, not after `now`, by the clock
// that all hosts share through the table; nullopt if it was accepted without,
// or at a time that this clock has not reached: it has started again since.
std::optional<TimePoint> AcceptedByTableClock(TimePoint now,
                                              const TableClock& table_clock,
                                              const JobRecord& record);

// When a job was accepted, on this host's clock, not after `now`: by the clock
// that all hosts share through the table, so that the order of jobs does not
// depend on anyone's time of day. `wall`, the time of day since 1970, decides
// only for jobs that were accepted without that clock.
TimePoint AcceptedAt(TimePoint now, std::chrono::milliseconds wall,
                     const TableClock& table_clock, const JobRecord& record);

}  // namespace chivewing
