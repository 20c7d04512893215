#include "dispatch/worker_loss_text.h"

#include <set>

namespace chivewing {

std::string DescribeRestart(TimePoint now, const TrackedWorker& worker,
                            const RestartSign& sign) {
  const auto clock_age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - worker.clock_at());
  std::string out =
      std::string(" told_by=") + (sign.by_start ? "start" : "clock") +
      " start_ms=" + std::to_string(sign.incarnation_start.count()) +
      " start_before_ms=" + std::to_string(worker.incarnation_start.count()) +
      " clock_ms=" + std::to_string(sign.clock.count());
  if (!worker.has_clock()) return out;
  return out + " clock_expected_ms=" +
         std::to_string(worker.LeastClock(now).count()) +
         " clock_read_ms_ago=" + std::to_string(clock_age.count());
}

std::string DescribeEnds(const TrackedWorker& worker) {
  return " persisted_end=" + std::to_string(worker.persisted_end) +
         " told_end=" + std::to_string(worker.told_end) + " ends_unsaved=" +
         std::to_string(worker.processed_end - worker.persisted_end);
}

std::string DescribeRuns(const RunTable& runs,
                         const std::vector<std::uint64_t>& ids) {
  std::size_t acknowledged = 0;
  std::size_t stopped = 0;
  for (const std::uint64_t id : ids) {
    const Run& run = runs.all().at(id);
    if (run.stop_confirmed) {
      ++stopped;
    } else if (run.acknowledged) {
      ++acknowledged;
    }
  }
  return " runs=" + std::to_string(ids.size()) +
         " acknowledged=" + std::to_string(acknowledged) +
         " stopped=" + std::to_string(stopped);
}

std::string DescribeRunsOn(const RunTable& runs, const WorkerId& worker) {
  const std::set<std::uint64_t>& ids = runs.OnWorker(worker);
  return DescribeRuns(runs, {ids.begin(), ids.end()});
}

LogLevel LevelOfLoss(const RunTable& runs, const WorkerId& worker) {
  return runs.OnWorker(worker).empty() ? LogLevel::kInfo : LogLevel::kWarning;
}

}  // namespace chivewing
