#include "dispatch/refused_rows.h"

#include <algorithm>
#include <chrono>

namespace chivewing {
namespace {

// How long a refused row is set aside. What it holds may change, and so may the
// table's limits.
constexpr std::chrono::seconds kRetryInterval{5};

// Batches of more rows have no limit here.
constexpr std::size_t kMostLimited = 1000;

template <typename Rows>
auto FindDue(Rows& rows, TimePoint now) {
  return std::find_if(rows.begin(), rows.end(),
                      [now](const auto& row) { return row.second <= now; });
}

template <typename RowId>
std::optional<RowId> TakeDue(std::map<RowId, TimePoint>& rows, TimePoint now) {
  const auto due = FindDue(rows, now);
  if (due == rows.end()) return std::nullopt;
  return rows.extract(due).key();
}

}  // namespace

std::size_t RefusedRows::BatchLimit(std::size_t most) const {
  return limit_ == 0 ? most : std::min(limit_, most);
}

void RefusedRows::OnBatchRefused(std::size_t rows) {
  limit_ = std::max<std::size_t>(rows / 2, 1);
}

void RefusedRows::OnBatchSaved() {
  limit_ = limit_ >= kMostLimited ? 0 : 2 * limit_;
}

void RefusedRows::SetAside(TimePoint now, const JobId& job) {
  jobs_[job] = now + kRetryInterval;
  ++count_;
  OnBatchSaved();
}

void RefusedRows::SetAside(TimePoint now, const WorkerId& worker) {
  workers_[worker] = now + kRetryInterval;
  ++count_;
  OnBatchSaved();
}

bool RefusedRows::HasDue() const {
  return FindDue(jobs_, now_) != jobs_.end() ||
         FindDue(workers_, now_) != workers_.end();
}

std::optional<JobId> RefusedRows::TakeDueJob() { return TakeDue(jobs_, now_); }

std::optional<WorkerId> RefusedRows::TakeDueWorker() {
  return TakeDue(workers_, now_);
}

}  // namespace chivewing
