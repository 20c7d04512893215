#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "entry/job_row.h"
#include "entry/task_row.h"
#include "store/table.h"

namespace chivewing {

// Row writes of a zone's placer that wait for its next batch, with the latest
// value per row, and the last written status of each job. Does no I/O; runs on
// the placer's thread.
class PendingRowWrites {
 public:
  using WallClock = std::function<std::chrono::milliseconds()>;

  PendingRowWrites(ZoneId zone, std::map<JobId, JobStatusRow> statuses,
                   WallClock wall_time);

  void PutTask(const TaskRow& row);
  void EraseTask(const TaskId& task);
  // Turns pending writes of the job's task rows into deletions.
  void EraseTasksOf(const JobId& job);
  // Writes a job's status if it differs from the last one written.
  void PutStatus(const JobId& job, JobState state, const std::string& detail);
  // Deletes the job row and the job status row.
  void EraseJob(const JobId& job);

  bool HasEnded(const JobId& job) const;
  std::size_t size() const { return writes_.size(); }

  // Returns the pending writes and clears them.
  std::vector<TableWrite> Take();

 private:
  ZoneId zone_;
  WallClock wall_time_;
  std::map<JobId, JobStatusRow> statuses_;
  std::map<std::string, std::optional<std::string>> writes_;  // by row key
};

}  // namespace chivewing
