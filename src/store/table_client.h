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

// Addresses of the platform and limits of a request.
struct TableClientOptions {
  // IP:PORT of each; the client moves to the next when a connection fails.
  std::vector<std::string> addresses{};
  std::string host{};  // sent as X-Host unless empty
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds timeout{2000};  // per attempt
  std::size_t max_answer_bytes = std::size_t{16} << 20;
};

// Totals since the client was created.
struct TableClientCounts {
  std::uint64_t reads = 0;     // read-only requests, including host lists
  std::uint64_t writes = 0;    // commits sent
  std::uint64_t failures = 0;  // requests without a usable response
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

// HTTP client of the platform's table and host list. Each callback runs exactly
// once, on the HttpClient's thread or, if the client's ring is full, on the
// caller's; it must not block, only push to a ring. A request is repeated at
// the next address only if it certainly did not reach the one before.
class TableClient {
 public:
  // `http` must outlive the client.
  TableClient(HttpClient& http, TableClientOptions options);
  ~TableClient();
  TableClient(const TableClient&) = delete;
  TableClient& operator=(const TableClient&) = delete;

  // Sends one copy of a transaction; CommitResolver handles lost responses.
  void Commit(const TableTransaction& transaction,
              std::function<void(CommitResponse)> done);
  void Read(const std::vector<std::string>& keys,
            std::function<void(ReadResponse)> done);
  // Fetches rows under `prefixes` (all rows if empty) changed after revision
  // `since`.
  void Changes(std::uint64_t since, const std::vector<std::string>& prefixes,
               std::size_t limit, std::function<void(ChangesResponse)> done);
  void Hosts(std::function<void(HostListResponse)> done);

  TableClientCounts counts() const;

 private:
  class RequestSender;
  // Shared with requests in flight, which may outlive the client.
  std::shared_ptr<RequestSender> sender_;
};

}  // namespace chivewing
