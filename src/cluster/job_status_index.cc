#include "cluster/job_status_index.h"

#include <algorithm>
#include <string_view>

#include "base/log.h"

namespace chivewing {

std::optional<JobId> JobStatusIndex::OnRow(const TableRow& row) {
  const std::string_view key = row.key;
  if (key.starts_with(kJobRows)) {
    JobId job = JobOfRowKey(key, kJobRows);
    if (!row.value) {
      entries_.erase(job);
      return std::nullopt;
    }
    const Result<JobRecord> record = DecodeJobRecord(job, *row.value);
    if (!record) {
      LogError(LogPart::kPlacer, "row cannot be decoded; ignoring it key=" +
                                     row.key + " why=" + record.error().detail);
      return std::nullopt;
    }
    Entry& entry = entries_[job];
    entry.accepted = true;
    entry.queue = record.value().queue.name;
    return job;
  }
  if (key.starts_with(kCancelRows) && row.value) {
    JobId job = JobOfRowKey(key, kCancelRows);
    entries_[job].cancelled = true;
    return job;
  }
  if (key.starts_with(kProgressRows) && row.value) {
    const Result<JobPhase> state = DecodeJobPhase(*row.value);
    if (!state) {
      LogError(LogPart::kPlacer, "row cannot be decoded; ignoring it key=" +
                                     row.key + " why=" + state.error().detail);
      return std::nullopt;
    }
    JobId job = JobOfRowKey(key, kProgressRows);
    if (Advance(job, state.value())) return job;
  }
  return std::nullopt;
}

void JobStatusIndex::OnChange(const JobStatusChange& change) {
  Entry& entry = entries_[change.job];
  if (!change.queue.empty()) {
    entry.accepted = true;
    entry.queue = change.queue;
  }
  entry.cancelled |= change.cancelled;
  Advance(change.job, change.state);
}

JobStatusChange JobStatusIndex::StatusOf(const JobId& job) const {
  const auto found = entries_.find(job);
  const Entry entry = found == entries_.end() ? Entry{} : found->second;
  return {job, entry.queue, entry.cancelled, entry.phase};
}

std::vector<JobStatusChange> JobStatusIndex::AllStatuses() const {
  std::vector<JobStatusChange> out;
  out.reserve(entries_.size());
  for (const auto& [job, entry] : entries_) {
    out.push_back({job, entry.queue, entry.cancelled, entry.phase});
  }
  return out;
}

bool JobStatusIndex::Advance(const JobId& job, JobPhase state) {
  JobPhase& phase = entries_[job].phase;
  if (IsFinal(phase) || state <= phase) return false;
  phase = state;
  return true;
}

std::optional<JobPhase> JobStatusIndex::PhaseOf(const JobId& job) const {
  const auto found = entries_.find(job);
  if (found == entries_.end() || !found->second.accepted) return std::nullopt;
  const Entry& entry = found->second;
  if (entry.cancelled && !IsFinal(entry.phase)) return JobPhase::kCancelled;
  return entry.phase;
}

bool JobStatusIndex::IsWaiting(const Entry& entry) const {
  return entry.accepted && !entry.cancelled && entry.phase == JobPhase::kQueued;
}

std::size_t JobStatusIndex::CountWaiting(const std::string& queue) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [this, &queue](const auto& item) {
        return item.second.queue == queue && IsWaiting(item.second);
      }));
}

}  // namespace chivewing
