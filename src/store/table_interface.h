#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "store/table.h"

namespace chivewing {

// Callbacks that send requests to a table. Implemented by the project's own
// table service, by the client of the platform's store and by tests. Each calls
// `done` exactly once, on any thread.
struct TableInterface {
  // Sends one copy of a transaction.
  std::function<void(const TableTransaction&,
                     std::function<void(CommitResponse)> done)>
      commit;
  // Reads one row.
  std::function<void(const std::string& key,
                     std::function<void(ReadResponse)> done)>
      read;
  // Reads the rows whose keys start with `prefix`, which must not be those of
  // jobs or cancels.
  std::function<void(const std::string& prefix,
                     std::function<void(ReadResponse)> done)>
      read_prefix;
  // Reads all rows. The rows may include changes after the response's revision.
  std::function<void(std::function<void(ChangesResponse)> done)> read_all;
  // Returns the rows changed after `since`, waiting up to `wait` for the first.
  std::function<void(std::uint64_t since, std::chrono::milliseconds wait,
                     std::function<void(ChangesResponse)> done)>
      changes;
};

}  // namespace chivewing
