#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "peer/messages.h"
#include "store/row_cache.h"
#include "store/table.h"

namespace chivewing {

// Effect: read changes after revision `since` from the table and pass the
// response to RowCacheUpdater::OnChanges.
struct FetchChanges {
  std::uint64_t since = 0;
  std::vector<std::string> prefixes;
};

// Effect: the cache now holds a newer version of the row.
struct RowChanged {
  TableRow row;
};

// Effect: all rows committed before the refresh was requested have been
// reported as RowChanged.
struct RefreshCompleted {
  std::uint64_t token = 0;
};

// Effect: all rows of the table have been reported once.
struct InitialSyncCompleted {};

struct SendToPeer {
  HostId peer;
  PeerMessage message;
};

using RowCacheEffect = std::variant<FetchChanges, RowChanged, RefreshCompleted,
                                    InitialSyncCompleted, SendToPeer>;

// Keeps the row cache of an entry host up to date: polls the table once per
// interval and takes rows that peers push after committing them. Until the
// first full read of the table, it also requests the rows of each peer that
// connects, so that a process that starts during an outage of the platform has
// rows. Outputs are Effects; does no I/O. Runs on the control plane's thread.
class RowCacheUpdater {
 public:
  using Effects = std::vector<RowCacheEffect>;

  RowCacheUpdater(std::vector<std::string> prefixes, Duration poll_interval);

  void Tick(TimePoint now, Effects& out);
  // Handles the response to the last FetchChanges.
  void OnChanges(TimePoint now, const ChangesResponse& response, Effects& out);
  // Rows that this host or a peer has committed.
  void OnRows(const std::vector<TableRow>& rows, Effects& out);
  void OnPeerUp(const HostId& peer, Effects& out);
  void OnRowsRequest(const HostId& from, const RowsRequest& request,
                     Effects& out) const;

  // RefreshCompleted with this token follows once a poll that began after this
  // call has reported all its rows.
  void RequestRefresh(std::uint64_t token);

  const RowCache& cache() const { return cache_; }
  // True once all rows have been read from the table.
  bool is_initial_sync_complete() const { return initial_sync_complete_; }

 private:
  void ApplyRow(const TableRow& row, Effects& out);

  std::vector<std::string> prefixes_;
  Duration poll_interval_;
  RowCache cache_;
  TimePoint next_poll_at_;
  bool poll_in_flight_ = false;
  bool initial_sync_complete_ = false;
  // True if the last poll succeeded: a refresh then polls at once instead of
  // waiting for the interval.
  bool last_poll_succeeded_ = true;
  std::vector<std::uint64_t> requested_refreshes_;
  std::vector<std::uint64_t>
      polled_refreshes_;  // covered by the poll in flight
};

}  // namespace chivewing
