#pragma once

#include <functional>

#include "base/time.h"
#include "cluster/host_row.h"
#include "cluster/table_watcher.h"

namespace chivewing {

// Writes this host's row, in which the other hosts find its address, and
// retries until the row is stored. Runs on the thread of its owner.
class HostRowWriter {
 public:
  // Runs a function on the owner's thread.
  using Post = std::function<void(std::function<void(TimePoint)>)>;

  // `watcher` must outlive the writer.
  HostRowWriter(TableInterface table, TableWatcher& watcher, HostRow row,
                Post post)
      : table_(std::move(table)),
        watcher_(watcher),
        row_(std::move(row)),
        post_(std::move(post)) {}

  // Sends the write once the table has been read, unless the row is stored.
  void Tick(TimePoint now);

 private:
  void OnResponse(TimePoint now, const TableTransaction& write,
                  const CommitResponse& response);

  TableInterface table_;
  TableWatcher& watcher_;
  const HostRow row_;
  Post post_;
  bool written_ = false;
  bool in_flight_ = false;
  TimePoint next_write_{};
};

}  // namespace chivewing
