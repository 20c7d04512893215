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

// Rows that a zone's placer wants written with its next batch, the latest value
// of each, and the states of jobs as last written.
class PendingRowWrites {
 public:
  using WallClock = std::function<std::chrono::milliseconds()>;

  PendingRowWrites(ZoneId zone, std::map<JobId, JobStatusRow> statuses,
                   WallClock wall_time);

  void PutTask(const TaskRow& row);
  void EraseTask(const TaskId& task);
  // Erases the rows of a job's tasks that are still to be written.
  void EraseTasksOf(const JobId& job);
  // Writes a job's state if it differs from the last one.
  void PutStatus(const JobId& job, JobState state, const std::string& detail);
  // Erases both rows of a job.
  void EraseJob(const JobId& job);

  bool HasEnded(const JobId& job) const;
  std::size_t size() const { return writes_.size(); }

  // The writes so far; they are no longer pending.
  std::vector<TableWrite> Take();

 private:
  ZoneId zone_;
  WallClock wall_time_;
  std::map<JobId, JobStatusRow> statuses_;
  std::map<std::string, std::optional<std::string>> writes_;  // by row key
};

}  // namespace chivewing
