#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "http/http_server.h"

namespace review {

// Stand-in for the platform's store: rows in tables and parts, conditional
// transactions, ranges, parts and the change feed, as PROTOCOL.md says.
// Minions and the operator write their rows by POST /standin/put, which stands
// for what the pages leave open.
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
  chivewing::HttpServerResponse Transact(const std::string& body);
  chivewing::HttpServerResponse GetRows(
      const chivewing::HttpServerRequest& call);
  chivewing::HttpServerResponse ListParts(
      const chivewing::HttpServerRequest& call);
  chivewing::HttpServerResponse Feed(const chivewing::HttpServerRequest& call);
  bool HasChanges(const chivewing::HttpServerRequest& call) const;
  bool IsSilent() const;
  bool IsCut(const chivewing::HttpServerRequest& call) const;
  void AnswerFeeds();
  void EndWaits();
  void LoseHistory(std::int64_t silent_ms);
  static bool HasLongName(const Json& rows);
  static Json ToJson(const Name& name, const Row& row);

  std::mutex mutex_;
  std::map<Name, Row> rows_;
  // The rows of each table in the order of their versions.
  std::map<std::pair<std::string, std::uint64_t>, std::map<Name, bool>> log_;
  std::uint64_t version_ = 0;
  // Lost history: feeds hear nothing until the first time, and after it those
  // from before the version are cut.
  std::int64_t silent_until_ms_ = 0;
  std::uint64_t history_from_ = 0;
  struct Wait {
    chivewing::HttpServerRequest call;
    std::int64_t until_ms = 0;
  };
  std::map<std::uint64_t, Wait> waits_;
  chivewing::HttpServer server_;
};

}  // namespace review
