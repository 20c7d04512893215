#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "http/http_server.h"

namespace review {

// Stand-in for the platform's store: rows in tables and parts, conditional
// transactions, ranges, parts and the change feed, as PROTOCOL.md says, with
// the times, rates and sizes of the site. Minions, the operator and other
// writers write their rows by POST /standin/put, which stands for what the
// pages leave open. An entry under `servers/` is removed after three status
// report intervals without one.
class Store {
 public:
  explicit Store(const std::string& address);

 private:
  using Json = nlohmann::json;
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  // as base64
    std::uint64_t version = 0;
    bool removed = false;
  };

  void OnCall(const chivewing::HttpServerRequest& call);
  chivewing::HttpServerResponse Put(const Json& row);
  // `at_ms` is when the answer goes out.
  chivewing::HttpServerResponse Transact(const std::string& body,
                                         std::int64_t& at_ms);
  chivewing::HttpServerResponse GetRows(
      const chivewing::HttpServerRequest& call);
  chivewing::HttpServerResponse ListParts(
      const chivewing::HttpServerRequest& call);
  chivewing::HttpServerResponse Feed(const chivewing::HttpServerRequest& call);
  bool HasChanges(const chivewing::HttpServerRequest& call) const;
  void AnswerFeeds();
  void EndWaits();
  void ExpireEntries();
  // Puts a row without the conditions of a transaction. Needs the mutex.
  void Write(const Name& name, Row row);
  // Whether one more call in this second is over the rate. Needs the mutex.
  static bool IsOverRate(std::deque<std::int64_t>& calls, std::size_t most);
  // Answers after the time that the call takes.
  void RespondLater(std::uint64_t call, std::int64_t at_ms,
                    chivewing::HttpServerResponse reply);
  void SendDue();
  static bool HasLongName(const Json& rows);
  static Json ToJson(const Name& name, const Row& row);

  std::mutex mutex_;
  std::map<Name, Row> rows_;
  // The rows of each table in the order of their versions.
  std::map<std::pair<std::string, std::uint64_t>, std::map<Name, bool>> log_;
  std::uint64_t version_ = 0;
  struct Wait {
    chivewing::HttpServerRequest call;
    std::int64_t until_ms = 0;
  };
  std::map<std::uint64_t, Wait> waits_;
  std::deque<std::int64_t> writes_;  // times of the last second's calls
  std::deque<std::int64_t> reads_;
  std::map<std::string, double> part_free_at_;
  std::map<Name, std::int64_t> reported_at_;  // entries under `servers/`
  struct Later {
    std::uint64_t call = 0;
    chivewing::HttpServerResponse reply;
  };
  std::mutex later_mutex_;
  std::multimap<std::int64_t, Later> later_;
  chivewing::HttpServer server_;
};

}  // namespace review
