#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

// Finds the rows that the table refuses for good, and keeps them apart so that
// they hold up no others. A batch that was refused is halved until one row is
// left; that row is set aside and tried again alone, at long intervals. Does no
// I/O.
class RefusedRows {
 public:
  // The most rows that the next batch may have, of `most`.
  std::size_t BatchLimit(std::size_t most) const;
  // A batch of so many rows, more than one, was refused as a whole.
  void OnBatchRefused(std::size_t rows);
  void OnBatchSaved();

  // The row of the job's progress, or of the worker, was refused alone.
  void SetAside(TimePoint now, const JobId& job);
  void SetAside(TimePoint now, const WorkerId& worker);
  bool IsSetAside(const JobId& job) const { return jobs_.contains(job); }
  bool IsSetAside(const WorkerId& worker) const {
    return workers_.contains(worker);
  }

  // Rows whose time to be tried again has come by `now` become due.
  void Update(TimePoint now) { now_ = now; }
  bool HasDue() const;
  // Takes a row that is due, which then counts as set aside no more.
  std::optional<JobId> TakeDueJob();
  std::optional<WorkerId> TakeDueWorker();

  // Rows that are set aside now, and how often one was since construction.
  std::size_t size() const { return jobs_.size() + workers_.size(); }
  std::uint64_t count() const { return count_; }

 private:
  std::map<JobId, TimePoint> jobs_;  // by job, when its row is due
  std::map<WorkerId, TimePoint> workers_;
  TimePoint now_{};
  // Rows of a batch; 0: no limit.
  std::size_t limit_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace chivewing
