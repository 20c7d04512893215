#include "entry/pending_row_writes.h"

#include <utility>

namespace chivewing {

PendingRowWrites::PendingRowWrites(ZoneId zone,
                                   std::map<JobId, JobStatusRow> statuses,
                                   WallClock wall_time)
    : zone_(std::move(zone)),
      wall_time_(std::move(wall_time)),
      statuses_(std::move(statuses)) {}

void PendingRowWrites::PutTask(const TaskRow& row) {
  TaskRow stamped = row;
  stamped.since_ms = wall_time_().count();
  writes_[TaskRowKey(zone_, row.task)] = EncodeTaskRow(stamped);
}

void PendingRowWrites::EraseTask(const TaskId& task) {
  writes_[TaskRowKey(zone_, task)] = std::nullopt;
}

void PendingRowWrites::EraseTasksOf(const JobId& job) {
  for (auto& [key, value] : writes_) {
    if (!value || !key.starts_with(TaskRowPrefix(zone_))) continue;
    const Result<TaskRow> row = DecodeTaskRow(key, *value);
    if (row && row.value().job == job) value.reset();
  }
}

void PendingRowWrites::PutStatus(const JobId& job, JobState state,
                                 const std::string& detail) {
  JobStatusRow& status = statuses_[job];
  const bool known = status.job == job;
  if (known && status.state == state && status.detail == detail) return;
  status.job = job;
  status.state = state;
  status.detail = detail;
  status.ended_ms = chivewing::HasEnded(state) ? wall_time_().count() : 0;
  writes_[JobStatusRowKey(job)] = EncodeJobStatusRow(status);
}

void PendingRowWrites::EraseJob(const JobId& job) {
  writes_[JobRowKey(job)] = std::nullopt;
  writes_[JobStatusRowKey(job)] = std::nullopt;
  statuses_.erase(job);
}

bool PendingRowWrites::HasEnded(const JobId& job) const {
  const auto status = statuses_.find(job);
  return status != statuses_.end() && chivewing::HasEnded(status->second.state);
}

std::vector<TableWrite> PendingRowWrites::Take() {
  std::vector<TableWrite> out;
  for (auto& [key, value] : std::exchange(writes_, {})) {
    out.push_back({key, std::move(value)});
  }
  return out;
}

}  // namespace chivewing
