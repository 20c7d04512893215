#include "placement/entry_statistics_table.h"

#include <algorithm>

namespace chivewing {
namespace {

constexpr std::size_t kRecentRunsKept = 64;
constexpr std::size_t kMinRunsForEstimate = 5;
// A new report has a weight of 1 / kMeanWeightDivisor in the moving mean.
constexpr std::int64_t kMeanWeightDivisor = 16;

std::int64_t UpdateMean(std::int64_t mean, std::int64_t value) {
  return mean + ((value - mean) / kMeanWeightDivisor);
}

Duration P90RunTime(std::vector<Duration> runs) {
  const auto rank = static_cast<std::ptrdiff_t>(runs.size() * 9 / 10);
  std::nth_element(runs.begin(), runs.begin() + rank, runs.end());
  return runs[static_cast<std::size_t>(rank)];
}

}  // namespace

void EntryStatisticsTable::AddUsage(const EntryName& entry,
                                    const Resources& declared,
                                    const Resources& used) {
  EntryStatistics& known = entries_[entry].statistics;
  known.entry = entry;
  known.declared = declared;
  known.max_used = ComponentwiseMax(known.max_used, used);
  if (known.usage_reports++ == 0) {
    known.mean_used = used;
    return;
  }
  Resources& mean = known.mean_used;
  mean.processors_milli =
      UpdateMean(mean.processors_milli, used.processors_milli);
  mean.memory_mb = UpdateMean(mean.memory_mb, used.memory_mb);
  mean.accelerators = UpdateMean(mean.accelerators, used.accelerators);
}

void EntryStatisticsTable::AddRun(const EntryName& entry, Duration run_time) {
  Entry& known = entries_[entry];
  known.statistics.entry = entry;
  ++known.statistics.runs;
  if (known.recent_runs.size() < kRecentRunsKept) {
    known.recent_runs.push_back(run_time);
  } else {
    known.recent_runs[known.next_run] = run_time;
    known.next_run = (known.next_run + 1) % kRecentRunsKept;
  }
  known.statistics.p90_run_time = P90RunTime(known.recent_runs);
}

Duration EntryStatisticsTable::ExpectedRunTime(const EntryName& entry,
                                               Duration declared) const {
  const auto known = entries_.find(entry);
  if (known == entries_.end()) return declared;
  if (known->second.statistics.runs < kMinRunsForEstimate) return declared;
  return known->second.statistics.p90_run_time;
}

std::vector<EntryStatistics> EntryStatisticsTable::All() const {
  std::vector<EntryStatistics> all;
  all.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) all.push_back(entry.statistics);
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.entry.value() < b.entry.value();
  });
  return all;
}

}  // namespace chivewing
