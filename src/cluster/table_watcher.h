#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "store/row_cache.h"
#include "store/table_clock.h"
#include "store/table_interface.h"

namespace chivewing {

// Caches rows of the table: reads all once, then polls for changes, and reads
// all again when the table no longer has the history since its revision. Rows
// pushed by peers are applied too. While a peer feeds this host with what it
// needs, only a single row is polled, for the table's clock and reach; before
// it reads all rows, it waits a while for such a feed, unless it needs them
// all. Calls the table and runs on the thread of its owner.
class TableWatcher {
 public:
  // Runs a function on the owner's thread.
  using Post = std::function<void(std::function<void(TimePoint)>)>;
  using RowCallback = std::function<void(TimePoint, const TableRow&)>;

  // `probe_key` is the key of the row that is polled while a peer feeds this
  // host.
  TableWatcher(TableInterface table, std::string probe_key, Post post,
               RowCallback on_row)
      : table_(std::move(table)),
        probe_key_(std::move(probe_key)),
        post_(std::move(post)),
        on_row_(std::move(on_row)) {}

  // Sends a read if one is due. Returns when it must be called next.
  TimePoint Tick(TimePoint now);
  // Applies a row from elsewhere, such as one pushed by a peer.
  void Apply(TimePoint now, const TableRow& row);
  // Minimum interval between the starts of two reads.
  void set_min_poll_interval(std::chrono::milliseconds interval) {
    min_poll_interval_ = interval;
  }
  // While set, feeds do not count: the cache is to hold all rows, as that of a
  // host that may have to dispatch soon.
  void set_needs_all_rows(bool needed);
  // True once the rows of the hosts have been read.
  bool knows_hosts() const { return knows_hosts_; }
  // True if a feed of the changes after the cache's revision may help.
  bool TakesFeed() const { return ready_ || waits_for_feed_; }
  // A peer has told this host all that it needs of the changes up to this
  // revision of the table.
  void OnFed(TimePoint now, std::uint64_t revision);
  // The host that feeds this one, or the network, may be lost: reads the table
  // at once, to know soon whether it is in reach.
  void OnFeedSilent(TimePoint now);
  // Calls `done` once all rows and all changes committed before `now` and up to
  // this revision of the table have been applied.
  void CatchUp(TimePoint now, std::uint64_t revision,
               std::function<void(TimePoint)> done);

  // True if the table has not responded for so long that it counts as
  // unreachable from this host.
  bool IsTableUnreachable(TimePoint now) const;
  // Since when the changes of the table have been read without an error; none
  // while it is unreachable or a peer feeds this host.
  std::optional<TimePoint> TableAvailableSince(TimePoint now) const;
  // True once this host knows what it needs, until the history is lost.
  bool ready() const { return ready_; }
  // When all rows were read last; TimePoint{} if never.
  TimePoint all_rows_read_at() const { return all_rows_read_at_; }
  // True while a peer feeds this host.
  bool IsFed(TimePoint now) const { return now < fed_until_; }
  const RowCache& cache() const { return cache_; }
  const TableClock& clock() const { return clock_; }

 private:
  // A call of CatchUp: a read that starts at `since` or later must reach
  // `revision`.
  struct CatchUpWaiter {
    TimePoint since{};
    std::uint64_t revision = 0;
    std::function<void(TimePoint)> done{};
  };

  // Reads the rows that say who the other hosts are, and which one dispatches.
  void ReadHosts();
  void OnHostsResponse(TimePoint now, const ReadResponse& hosts,
                       const ReadResponse& lease);
  void ReadAll();
  void ReadChanges();
  void Probe();
  void OnProbeResponse(TimePoint now, const ReadResponse& response);
  // Notes a response without an error.
  void OnReached(TimePoint now,
                 const std::optional<std::chrono::milliseconds>& clock);
  bool MustReadAll() const;
  void OnReadResponse(TimePoint now, const ChangesResponse& response,
                      bool complete);
  // A complete read has been applied.
  void EndCatchUps(TimePoint now);
  // Ignores the response to the read in flight, if there is one.
  void DropRead();
  void OnReadError(TimePoint now);

  TableInterface table_;
  const std::string probe_key_;
  Post post_;
  RowCallback on_row_;
  RowCache cache_;
  TableClock clock_;
  bool ready_ = false;
  bool knows_hosts_ = false;
  bool waits_for_feed_ = false;
  TimePoint feed_wait_until_{};
  // False once a feed has taken the place of reading changes.
  bool has_all_rows_ = false;
  TimePoint all_rows_read_at_{};
  bool needs_all_rows_ = false;
  TimePoint fed_until_{};
  // A feed that has not reached this revision has fallen behind the table.
  std::uint64_t least_fed_revision_ = 0;
  std::uint64_t probed_revision_ = 0;  // of the table, at the last probe
  bool read_in_flight_ = false;        // a response is awaited
  bool reads_all_rows_ = false;        // by that read
  std::uint64_t read_number_ = 0;      // responses to earlier reads are ignored
  TimePoint read_sent_at_{};
  std::chrono::milliseconds read_wait_{0};  // long-poll time of that read
  bool must_not_wait_ = false;              // the next read of changes
  TimePoint next_read_{};
  std::chrono::milliseconds min_poll_interval_{250};
  int consecutive_errors_ = 0;
  TimePoint last_response_at_{};  // time of the last successful response
  TimePoint available_since_{};   // first response after the last error
  std::vector<CatchUpWaiter> catch_up_waiters_;
};

}  // namespace chivewing
