#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "placement/resources.h"

namespace chivewing {

// Measured usage and run times of the tasks of one catalogue entry.
struct EntryStatistics {
  EntryName entry;
  std::size_t usage_reports = 0;
  Resources declared;
  Resources mean_used;
  Resources max_used;
  std::size_t runs = 0;
  // 90th percentile of the recent run times; 0 when unknown.
  Duration p90_run_time{0};
};

// Learns resource usage and run times per catalogue entry from reports. Run
// times are used to rank jobs and to plan reservations and backfill; usage is
// only shown to operators and never reduces what is reserved for a task. No
// I/O.
class EntryStatisticsTable {
 public:
  void AddUsage(const EntryName& entry, const Resources& declared,
                const Resources& used);
  void AddRun(const EntryName& entry, Duration run_time);

  // Returns the learned run time, or `declared` when too few runs were
  // recorded.
  Duration ExpectedRunTime(const EntryName& entry, Duration declared) const;
  std::vector<EntryStatistics> All() const;

 private:
  struct Entry {
    EntryStatistics statistics;
    std::vector<Duration> recent_runs;
    std::size_t next_run = 0;
  };

  std::unordered_map<EntryName, Entry> entries_;
};

}  // namespace chivewing
