#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "store/table_interface.h"

namespace chivewing {

// A table whose calls wait until a test completes them.
class FakeTable {
 public:
  TableInterface interface() {
    TableInterface out;
    out.commit = [this](const TableTransaction& transaction, auto done) {
      commits.emplace_back(transaction, done);
    };
    out.read = [this](const std::string& key, auto done) {
      reads.emplace_back(key, done);
    };
    out.read_prefix = [this](const std::string& prefix, auto done) {
      prefix_reads.emplace_back(prefix, done);
    };
    out.read_all = [this](auto done) { full_reads.push_back(done); };
    out.changes = [this](std::uint64_t since, auto wait, auto done) {
      change_read_waits.push_back(wait);
      change_reads.emplace_back(since, done);
    };
    return out;
  }

  std::deque<std::pair<TableTransaction, std::function<void(CommitResponse)>>>
      commits;
  std::deque<std::pair<std::string, std::function<void(ReadResponse)>>> reads;
  std::deque<std::pair<std::string, std::function<void(ReadResponse)>>>
      prefix_reads;
  std::deque<std::function<void(ChangesResponse)>> full_reads;
  std::deque<std::pair<std::uint64_t, std::function<void(ChangesResponse)>>>
      change_reads;
  std::deque<std::chrono::milliseconds>
      change_read_waits;  // long-poll time of each read of changes
};

}  // namespace chivewing
