#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "store/table.h"

namespace chivewing {

// Calls to a table, as hooks: of the project's own table service, of the
// platform's store, or of a test. Each calls `done` exactly once, from any
// thread.
struct TableInterface {
  // Sends one copy of a transaction.
  std::function<void(const TableTransaction&,
                     std::function<void(CommitResponse)> done)>
      commit;
  // Reads one row.
  std::function<void(const std::string& key,
                     std::function<void(ReadResponse)> done)>
      read;
  // Reads all rows; changes after the answer's revision may be among them.
  std::function<void(std::function<void(ChangesResponse)> done)> read_all;
  // Waits up to `wait` for rows that have changed after `since`.
  std::function<void(std::uint64_t since, std::chrono::milliseconds wait,
                     std::function<void(ChangesResponse)> done)>
      changes;
};

}  // namespace chivewing
