#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/table_watcher.h"
#include "dispatch/dispatcher.h"
#include "store/table_interface.h"

namespace chivewing {

enum class BatchOutcome {
  kWritten,
  kNotWritten,  // it may be, later
  kRefused,     // the table will never take it: a row of it is at fault
};

// Writes the progress batches of a dispatcher to the table, one at a time. The
// same transaction is sent again until its response is definite, so a batch
// takes effect at most once. Runs on the thread of its owner.
class ProgressWriter {
 public:
  struct Callbacks {
    std::function<void(std::function<void(TimePoint)>)> post{};
    // Called with the rows of each committed batch.
    std::function<void(TimePoint, const std::vector<TableRow>&)>
        on_rows_committed{};
    // Called once for each batch, with what Write was called with.
    std::function<void(TimePoint, std::uint64_t generation,
                       const ProgressWriteBatch&, BatchOutcome)>
        on_result{};
  };

  ProgressWriter(TableInterface table, TableWatcher& table_watcher,
                 std::string write_prefix, Callbacks callbacks)
      : table_(std::move(table)),
        table_watcher_(table_watcher),
        callbacks_(std::move(callbacks)),
        write_prefix_(std::move(write_prefix)) {}

  // True while a batch has no definite response.
  bool busy() const { return batch_.has_value(); }
  // Writes a batch of the dispatcher with this fence, on condition that its
  // lease's row is unchanged. Must not be busy.
  void Write(TimePoint now, std::uint64_t generation, std::uint64_t fence,
             const TableCondition& lease, ProgressWriteBatch batch);
  // Sends the batch again if that is due. Returns when it will be;
  // TimePoint::max() if a response is awaited or there is no batch.
  TimePoint Tick(TimePoint now);

 private:
  void NoteLeftOut(TimePoint now, std::size_t checkpoints);
  void Send();
  void OnResponse(TimePoint now, const CommitResponse& response);

  TableInterface table_;
  TableWatcher& table_watcher_;
  Callbacks callbacks_;
  const std::string write_prefix_;
  std::uint64_t next_write_number_ = 1;
  std::optional<ProgressWriteBatch> batch_;
  TableTransaction transaction_{};
  std::uint64_t generation_ = 0;
  bool in_flight_ = false;
  bool unconfirmed_ = false;  // a copy may have taken effect
  TimePoint next_send_{};
  TimePoint next_left_out_log_{};
};

}  // namespace chivewing
