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

// Ask the table for changes and hand the answer to RowCacheUpdater::OnChanges.
struct FetchChanges {
  std::uint64_t since = 0;
  std::vector<std::string> prefixes;
};

// A row of a higher version than before is in force here.
struct RowChanged {
  TableRow row;
};

// All rows committed before the refresh was asked for have been told.
struct RefreshCompleted {
  std::uint64_t token = 0;
};

// All rows of the table have been told once.
struct InitialSyncCompleted {};

struct SendToPeer {
  HostId peer;
  PeerMessage message;
};

using RowCacheEffect = std::variant<FetchChanges, RowChanged, RefreshCompleted,
                                    InitialSyncCompleted, SendToPeer>;

// Keeps the row cache of an entry host up to date: from the table, asked once
// an interval, and from peers, who push what they have committed. A process
// that starts while the platform is away asks its peers for their rows.
class RowCacheUpdater {
 public:
  using Effects = std::vector<RowCacheEffect>;

  RowCacheUpdater(std::vector<std::string> prefixes, Duration poll_interval);

  void Tick(TimePoint now, Effects& out);
  // The answer to the last FetchChanges.
  void OnChanges(TimePoint now, const ChangesResponse& answer, Effects& out);
  // Rows that this host or a peer has committed.
  void OnRows(const std::vector<TableRow>& rows, Effects& out);
  void OnPeerUp(const HostId& peer, Effects& out);
  void OnRowsRequest(const HostId& from, const RowsRequest& ask,
                     Effects& out) const;

  // RefreshCompleted with this token follows when a poll that began after this
  // call has told everything.
  void Refresh(std::uint64_t token);

  const RowCache& cache() const { return cache_; }
  // Whether all rows have been read from the table once.
  bool is_complete() const { return complete_; }

 private:
  void Tell(const TableRow& row, Effects& out);

  std::vector<std::string> prefixes_;
  Duration poll_interval_;
  RowCache cache_;
  TimePoint next_poll_;
  bool poll_open_ = false;
  bool complete_ = false;
  // Whether the last poll was answered: refreshes are then asked for at once.
  bool answered_ = true;
  std::vector<std::uint64_t> refreshes_asked_;
  std::vector<std::uint64_t> refreshes_polled_;  // since the open poll began
};

}  // namespace chivewing
