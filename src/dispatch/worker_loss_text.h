#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/time.h"
#include "dispatch/run_table.h"
#include "dispatch/tracked_worker.h"

// Parts of the log lines that tell why runs of a worker count as lost. Each
// begins with a blank.
namespace chivewing {

// What told that a worker has restarted; its former readings are those of the
// tracked worker.
struct RestartSign {
  bool by_start = false;  // by the start of its life, otherwise by its clock
  std::chrono::milliseconds incarnation_start{0};  // 0: not reported
  WorkerTimestamp clock{0};
};

std::string DescribeRestart(TimePoint now, const TrackedWorker& worker,
                            const RestartSign& sign);
// How far the ends of the worker's present incarnation have got.
std::string DescribeEnds(const TrackedWorker& worker);
// How many runs these are, how many of them have a confirmed stop, and how many
// others the worker has acknowledged.
std::string DescribeRuns(const RunTable& runs,
                         const std::vector<std::uint64_t>& ids);
std::string DescribeRunsOn(const RunTable& runs, const WorkerId& worker);
// Of the line about the end of a worker: a warning if it takes runs with it.
LogLevel LevelOfLoss(const RunTable& runs, const WorkerId& worker);

}  // namespace chivewing
