#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "store/table.h"

namespace chivewing {

class HttpClient;

// Where the platform is and how long a call may take.
struct TableClientOptions {
  std::vector<std::string> addresses{};  // IP:PORT; the next on no connection
  std::string host{};                    // sent as X-Host; may be empty
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds timeout{2000};  // of each try
  std::size_t max_answer_bytes = std::size_t{16} << 20;
};

// Counts since the start of a client.
struct TableClientCounts {
  std::uint64_t reads = 0;     // calls that only read, host lists included
  std::uint64_t writes = 0;    // commits sent
  std::uint64_t failures = 0;  // calls without a usable answer
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

// Calls to the platform's table and host list. Callbacks run on the thread of
// the HttpClient (on the caller's when its ring is full), exactly once, and
// only push to a ring. A call goes to the next address only when it certainly
// did not reach the one before.
class TableClient {
 public:
  // `http` outlives the client.
  TableClient(HttpClient& http, TableClientOptions options);
  ~TableClient();
  TableClient(const TableClient&) = delete;
  TableClient& operator=(const TableClient&) = delete;

  // Sends one copy of a transaction; see CommitResolver for lost answers.
  void Commit(const TableTransaction& transaction,
              std::function<void(CommitResponse)> done);
  void Read(const std::vector<std::string>& keys,
            std::function<void(ReadResponse)> done);
  // Rows of `prefixes` (all rows when empty) changed after revision `since`.
  void Changes(std::uint64_t since, const std::vector<std::string>& prefixes,
               std::size_t limit, std::function<void(ChangesResponse)> done);
  void Hosts(std::function<void(HostListResponse)> done);

  TableClientCounts counts() const;

 private:
  class Caller;
  // Shared with calls in flight, which may end after the client is gone.
  std::shared_ptr<Caller> caller_;
};

}  // namespace chivewing
