#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "base/time.h"
#include "store/row_cache.h"
#include "store/table_interface.h"

namespace chivewing {

// Keeps a cache of all rows of the table: reads them once, then follows their
// changes; reads them again when the table has forgotten changes. Rows may also
// be given by hand, as pushed by a peer.
class TableWatcher {
 public:
  // Runs a function on the owner's thread.
  using Post = std::function<void(std::function<void(TimePoint)>)>;
  using RowCallback = std::function<void(TimePoint, const TableRow&)>;

  TableWatcher(TableInterface table, Post post, RowCallback on_row)
      : table_(std::move(table)),
        post_(std::move(post)),
        on_row_(std::move(on_row)) {}

  // Sends what is due; returns when it is to be called again.
  TimePoint Tick(TimePoint now);
  // Applies a row that was not read here.
  void Apply(TimePoint now, const TableRow& row);
  // Least time between two questions.
  void set_min_poll_interval(std::chrono::milliseconds interval) {
    min_poll_interval_ = interval;
  }
  // Calls `done` once all changes made until now have been applied.
  void CatchUp(TimePoint now, std::function<void(TimePoint)> done);

  // Whether the table has not answered for so long that it is taken to be out
  // of this host's reach.
  bool IsTableUnreachable(TimePoint now) const;
  // Since when the table has answered without a fault; nothing while it is
  // lost.
  std::optional<TimePoint> TableAvailableSince(TimePoint now) const;
  // All rows have been read at least once.
  bool ready() const { return ready_; }
  const RowCache& cache() const { return cache_; }

 private:
  void ReadAll();
  void ReadChanges();
  void OnReadResponse(TimePoint now, const ChangesResponse& response,
                      bool complete);
  void OnReadError(TimePoint now);

  TableInterface table_;
  Post post_;
  RowCallback on_row_;
  RowCache cache_;
  bool ready_ = false;
  bool read_in_flight_ = false;    // an answer is awaited
  std::uint64_t read_number_ = 0;  // answers to earlier calls are ignored
  TimePoint read_sent_at_{};
  TimePoint next_read_{};
  std::chrono::milliseconds min_poll_interval_{250};
  int consecutive_errors_ = 0;
  TimePoint last_response_at_{};  // when the table last answered
  TimePoint available_since_{};   // after the newest fault
  // Those who wait for changes asked for from now on.
  std::vector<std::pair<TimePoint, std::function<void(TimePoint)>>>
      catch_up_waiters_;
};

}  // namespace chivewing
