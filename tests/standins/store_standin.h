#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "http/http_server.h"
#include "standins/timer_thread.h"

namespace chivewing {

// HTTP stand-in for the platform's row store, in memory. Implements the
// published protocol: rows grouped by table and part, conditional transactions,
// paged reads, the list of parts and the change feed with its long poll.
class StoreStandin {
 public:
  explicit StoreStandin(std::size_t page_rows = 500);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  std::string address() const;
  std::uint16_t port() const { return server_.port(); }
  // Writes a row directly, without HTTP, in place of an operator or a worker.
  void Put(const std::string& table, const std::string& part,
           const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& part,
              const std::string& key);
  std::size_t CountRows(const std::string& table) const;

  // Faults that tests inject:
  std::atomic<int> refuse_with{0};        // status of every response; 0: off
  std::atomic<bool> lose_answers{false};  // applies writes, truncates responses
  std::atomic<bool> history_lost{false};  // answers the next feed with 410
  std::function<void()> after_listing{};  // runs after parts were listed
  // Most bytes of the key and of the value of a row; transactions with more are
  // rejected.
  std::atomic<std::size_t> max_key_bytes{200};
  std::atomic<std::size_t> max_value_bytes{65'536};
  std::atomic<std::size_t> rejected_transactions{0};  // since the start

 private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  // as base64
    std::uint64_t version = 0;
    bool removed = false;
  };

  void OnCall(const HttpServerRequest& call);
  void OnFeedCall(const HttpServerRequest& call);
  // Responds to the waiting feed calls for which there are changes.
  void RespondToFeeds();
  bool IsRejected(const std::string& body) const;
  HttpServerResponse Transact(const std::string& body);
  HttpServerResponse GetRows(const HttpServerRequest& call);
  HttpServerResponse ListParts(const HttpServerRequest& call);
  // Both need the mutex.
  bool HasChanges(const HttpServerRequest& call) const;
  HttpServerResponse Feed(const HttpServerRequest& call) const;

  const std::size_t page_rows_;
  mutable std::mutex mutex_;
  std::map<Name, Row> rows_;
  std::uint64_t version_ = 0;
  std::map<std::uint64_t, HttpServerRequest> waiting_feeds_;  // by call id
  HttpServer server_;
  TimerThread timer_;  // ends the waits of feeds
};

}  // namespace chivewing
