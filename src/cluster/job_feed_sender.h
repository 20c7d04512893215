#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
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
  // A host that knows all changes up to `since` requests the feed.
  void OnRequest(const HostId& host, std::uint64_t since) {
    requests_[host] = since;
  }
  // A first message and the hosts that it is for.
  struct First {
    std::vector<HostId> to;
    JobFeed feed;
  };
  // Removes and returns the first messages that are due at `now`; their hosts
  // are receivers from then on. A host that lacks much gets the statuses of all
  // jobs, a few hosts at a time.
  std::vector<First> TakeFirsts(TimePoint now, const RowCache& cache,
                                const JobStatusIndex& status);
  // A message to the host could not be sent, or its connection is lost.
  void RemoveReceiver(const HostId& host);
  // This host does not dispatch any more.
  void Stop();
  const std::set<HostId>& receivers() const { return receivers_; }

  // The status of a job, or a row for which IsFeedRow is true, has changed.
  void AddJob(TimePoint now, const JobId& job);
  void AddRow(TimePoint now, const TableRow& row);

  // When a message is due; TimePoint::max() if there are no receivers.
  TimePoint due() const;
  // Removes and returns the message to all receivers if it is due at `now`.
  // `through` is the revision of the table up to which this host has read.
  std::optional<JobFeed> TakeDue(TimePoint now, std::uint64_t through,
                                 const JobStatusIndex& status);

 private:
  void OnAdded(TimePoint now);
  // When the next message to all receivers is due.
  TimePoint next_due() const;
  // A first message without contents.
  JobFeed MakeFirst(const RowCache& cache) const;
  JobFeed ChangesSince(std::uint64_t since, const RowCache& cache,
                       const JobStatusIndex& status) const;
  JobFeed AllStatuses(const RowCache& cache,
                      const JobStatusIndex& status) const;

  std::map<HostId, std::uint64_t> requests_;
  TimePoint requests_due_{};
  std::set<HostId> receivers_;
  std::set<JobId> jobs_;        // changed since the last message
  std::vector<TableRow> rows_;  // the same
  TimePoint changes_due_ = TimePoint::max();
  TimePoint sent_at_{};
  std::uint64_t last_number_ = 0;
};

}  // namespace chivewing
