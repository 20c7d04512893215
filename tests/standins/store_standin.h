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

namespace chivewing {

// Stand-in for the platform's store: rows in tables and parts, transactions
// under conditions, pages, parts and changes, by the published protocol.
class StoreStandin {
 public:
  explicit StoreStandin(std::size_t page_rows = 500);

  std::string address() const;
  // Writes a row of any table, as the operator and the workers do.
  void Put(const std::string& table, const std::string& part,
           const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& part,
              const std::string& key);
  std::size_t CountRows(const std::string& table) const;

  // Faults.
  std::atomic<int> refuse_with{0};        // answers all calls with this status
  std::atomic<bool> lose_answers{false};  // does writes, cuts their answers
  std::atomic<bool> history_lost{false};  // answers the next feeds with 410
  std::function<void()> after_listing{};  // called when parts were listed

 private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  // as base64
    std::uint64_t version = 0;
    bool removed = false;
  };

  void OnCall(const HttpServerRequest& call);
  HttpServerResponse Transact(const std::string& body);
  HttpServerResponse GetRows(const HttpServerRequest& call);
  HttpServerResponse ListParts(const HttpServerRequest& call);
  HttpServerResponse Feed(const HttpServerRequest& call);

  const std::size_t page_rows_;
  mutable std::mutex mutex_;
  std::map<Name, Row> rows_;
  std::uint64_t version_ = 0;
  HttpServer server_;
};

}  // namespace chivewing
