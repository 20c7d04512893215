#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "placement/resources.h"

namespace chivewing {

// What was learned of the tasks of one catalogue entry.
struct EntryStatistics {
  EntryName entry;
  std::size_t usage_reports = 0;
  Resources declared;
  Resources mean_used;
  Resources max_used;
  std::size_t runs = 0;
  // Run time that nine in ten of the recent runs stayed within; 0 when unknown.
  Duration p90_run_time{0};
};

// Learns real sizes and run times per catalogue entry. They order batch work
// and are shown to operators; they never make room for more tasks.
class EntryStatisticsTable {
 public:
  void AddUsage(const EntryName& entry, const Resources& declared,
                const Resources& used);
  void AddRun(const EntryName& entry, Duration run_time);

  // The learned run time, or `declared` while too few runs were seen.
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
