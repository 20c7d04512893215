#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "base/time.h"
#include "cluster/job_status_index.h"
#include "peer/messages.h"
#include "store/row_cache.h"

namespace chivewing {

// True for the keys of rows that a feed carries as they are.
bool IsFeedRow(std::string_view key);

// The dispatching host's side of the job feed: gathers what has changed, so
// that time, not the number of commits, decides how many messages are sent.
// Does no I/O; has no clock.
class JobFeedSender {
 public:
  // The first message for a host that knows all changes up to `since`, which
  // from then on is a receiver. None if too much has changed since: the host
  // has to read the table.
  std::optional<JobFeed> AddReceiver(const HostId& host, std::uint64_t since,
                                     const RowCache& cache,
                                     const JobStatusIndex& status);
  void RemoveReceiver(const HostId& host) { receivers_.erase(host); }
  // This host does not dispatch any more.
  void Stop();
  const std::set<HostId>& receivers() const { return receivers_; }

  // The status of a job, or a row for which IsFeedRow is true, has changed.
  void AddJob(TimePoint now, const JobId& job);
  void AddRow(TimePoint now, const TableRow& row);

  // When a message to all receivers is due; TimePoint::max() if there are none.
  TimePoint due() const;
  // Removes and returns the message to all receivers if it is due at `now`.
  // `through` is the revision of the table up to which this host has read.
  std::optional<JobFeed> TakeDue(TimePoint now, std::uint64_t through,
                                 const JobStatusIndex& status);

 private:
  void OnAdded(TimePoint now);

  std::set<HostId> receivers_;
  std::set<JobId> jobs_;        // changed since the last message
  std::vector<TableRow> rows_;  // the same
  TimePoint changes_due_ = TimePoint::max();
  TimePoint sent_at_{};
  std::uint64_t last_number_ = 0;
};

}  // namespace chivewing
