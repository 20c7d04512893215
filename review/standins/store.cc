// The platform's store: tables, conditional transactions and the change feed of
// PROTOCOL.md, with its limits on the size of a call and of a row, and with the
// time that a transaction takes.

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "http/http_server.h"
#include "review/standins/event_log.h"
#include "review/standins/options.h"
#include "standins/timer_thread.h"

namespace review {
namespace {

using Json = nlohmann::json;
using chivewing::HttpServerRequest;
using chivewing::HttpServerResponse;
using std::chrono::milliseconds;

constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxCallBytes = std::size_t{1} << 20;
constexpr std::size_t kPageRows = 500;
constexpr std::size_t kPageBytes = std::size_t{1} << 20;

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = group * 256 +
              (k < left ? static_cast<unsigned char>(bytes[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const std::uint32_t digit = (group >> (18 - 6 * k)) % 64;
      out.push_back(k <= left ? kDigits[digit] : '=');
    }
  }
  return out;
}

std::size_t DecodedBytes(const std::string& base64) {
  const std::size_t padding =
      static_cast<std::size_t>(std::count(base64.begin(), base64.end(), '='));
  return base64.size() / 4 * 3 - padding;
}

HttpServerResponse Reply(int status, const Json& body) {
  HttpServerResponse reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

std::uint64_t Number(std::string_view text) {
  return text.empty() ? 0 : std::stoull(std::string(text));
}

class Store {
 public:
  explicit Store(const Options& options)
      : tx_time_(options.Number("tx-ms", 8)),
        row_bytes_(
            static_cast<std::size_t>(options.Number("row-bytes", 65536))),
        log_(options.Text("log", "/dev/null"), "store"),
        server_({.address = options.Text("listen", "127.0.0.1:0"),
                 .max_body_bytes = std::size_t{4} << 20}) {}

  bool Start() {
    return static_cast<bool>(
        server_.Start([this](const HttpServerRequest& call) { OnCall(call); }));
  }
  void Stop() {
    server_.Stop();
    timer_.Stop();
  }

 private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  // as base64
    std::uint64_t version = 0;
    bool removed = false;
  };

  // Calls under /standin come from the script and from the minions.
  void OnCall(const HttpServerRequest& call) {
    if (call.path == "/standin/put") {
      Put(call);
    } else if (call.path == "/standin/down") {
      const std::lock_guard lock(mutex_);
      down_until_ =
          SteadyMs() + static_cast<std::int64_t>(Number(call.Query("for_ms")));
      log_.Write("DOWN for_ms=" + std::string(call.Query("for_ms")));
      server_.Respond(call.id, Reply(200, Json::object()));
    } else if (IsDown()) {
      server_.Respond(call.id, Reply(503, Json::object()));
    } else if (call.path == "/rows-tx") {
      OnTransaction(call);
    } else if (call.path == "/rows-get") {
      server_.Respond(call.id, GetRows(call));
    } else if (call.path == "/rows-parts") {
      server_.Respond(call.id, ListParts(call));
    } else if (call.path == "/rows-feed") {
      OnFeed(call);
    } else {
      server_.Respond(call.id, Reply(404, Json::object()));
    }
  }

  bool IsDown() {
    const std::lock_guard lock(mutex_);
    return SteadyMs() < down_until_;
  }

  void Put(const HttpServerRequest& call) {
    if (IsDown()) {
      server_.Respond(call.id, Reply(503, Json::object()));
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      const Name name{std::string(call.Query("table")), "",
                      std::string(call.Query("key"))};
      rows_[name] = {Base64(call.body), ++version_, false};
    }
    server_.Respond(call.id, Reply(200, Json::object()));
    RespondToFeeds();
  }

  // What is wrong with the call; empty if nothing is.
  std::string FaultOf(const Json& tx, std::size_t bytes) const {
    const std::size_t entries =
        tx["expected"].size() + tx["writes"].size() + tx["remove"].size();
    if (entries > kMaxEntries) return "entries";
    if (bytes > kMaxCallBytes) return "call too large";
    std::set<std::string> parts;
    for (const char* const kind : {"expected", "writes", "remove"}) {
      for (const Json& row : tx[kind]) parts.insert(row["part"]);
    }
    if (parts.size() > 1) return "several parts";
    for (const Json& row : tx["writes"]) {
      if (DecodedBytes(row["value"]) > row_bytes_) {
        return "row too large key=" + row["key"].get<std::string>() +
               " bytes=" + std::to_string(DecodedBytes(row["value"]));
      }
    }
    return "";
  }

  void OnTransaction(const HttpServerRequest& call) {
    Json tx = Json::parse(call.body);
    for (const char* const kind : {"expected", "writes", "remove"}) {
      if (!tx.contains(kind)) tx[kind] = Json::array();
    }
    const std::string fault = FaultOf(tx, call.body.size());
    if (!fault.empty()) {
      log_.Write("REFUSED " + fault);
      server_.Respond(call.id, Reply(400, {{"error", fault}}));
      return;
    }
    std::string part;
    for (const Json& row : tx["writes"]) part = row["part"];
    std::int64_t at = 0;
    {
      const std::lock_guard lock(mutex_);
      std::int64_t& free = free_at_[part];
      free = std::max(free, SteadyMs()) + tx_time_;
      at = free;
    }
    timer_.After(milliseconds(std::max<std::int64_t>(0, at - SteadyMs())),
                 [this, tx, id = call.id] {
                   HttpServerResponse reply = Transact(tx);
                   server_.Respond(id, std::move(reply));
                   RespondToFeeds();
                 });
  }

  HttpServerResponse Transact(const Json& tx) {
    const std::lock_guard lock(mutex_);
    const auto name = [](const Json& row) {
      return Name{row["table"], row["part"], row["key"]};
    };
    bool holds = true;
    Json present = Json::array();
    for (const Json& row : tx["expected"]) {
      const auto found = rows_.find(name(row));
      const bool there = found != rows_.end() && !found->second.removed;
      const std::uint64_t version = there ? found->second.version : 0;
      holds = holds && version == row["ver"].get<std::uint64_t>();
      if (!there) continue;
      present.push_back({{"table", row["table"]},
                         {"part", row["part"]},
                         {"key", row["key"]},
                         {"value", found->second.value},
                         {"ver", version}});
    }
    if (!holds) {
      return Reply(
          412, {{"rows", present}, {"ver", version_}, {"nowMs", SteadyMs()}});
    }
    ++version_;
    for (const Json& row : tx["writes"]) {
      rows_[name(row)] = {row["value"], version_, false};
    }
    for (const Json& row : tx["remove"]) {
      rows_[name(row)] = {"", version_, true};
    }
    return Reply(200, {{"ver", version_}, {"nowMs", SteadyMs()}});
  }

  HttpServerResponse GetRows(const HttpServerRequest& call) {
    const std::lock_guard lock(mutex_);
    const std::string table(call.Query("table"));
    const std::string part(call.Query("part"));
    const std::string from(call.Query("from"));
    const std::string end(call.Query("target"));
    const std::uint64_t limit = Number(call.Query("limit"));
    const std::size_t most = limit == 0 ? kPageRows : limit;
    Json rows = Json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (auto each = rows_.lower_bound({table, part, from});
         each != rows_.end(); ++each) {
      const auto& [row_table, row_part, key] = each->first;
      if (row_table != table || row_part != part) break;
      if (!end.empty() && key >= end) break;
      if (each->second.removed) continue;
      if (rows.size() == most || bytes > kPageBytes) {
        more = true;
        break;
      }
      bytes += each->second.value.size();
      rows.push_back({{"table", table},
                      {"part", part},
                      {"key", key},
                      {"value", each->second.value},
                      {"ver", each->second.version}});
    }
    return Reply(200, {{"rows", rows},
                       {"morePages", more},
                       {"ver", version_},
                       {"nowMs", SteadyMs()}});
  }

  HttpServerResponse ListParts(const HttpServerRequest& call) {
    const std::lock_guard lock(mutex_);
    const std::string table(call.Query("table"));
    std::vector<std::string> parts;
    for (const auto& [name, row] : rows_) {
      if (std::get<0>(name) != table || row.removed) continue;
      const std::string& part = std::get<1>(name);
      if (parts.empty() || parts.back() != part) parts.push_back(part);
    }
    return Reply(200,
                 {{"parts", parts}, {"ver", version_}, {"nowMs", SteadyMs()}});
  }

  void OnFeed(const HttpServerRequest& call) {
    const milliseconds wait(Number(call.Query("waitMs")));
    {
      const std::lock_guard lock(mutex_);
      waiting_feeds_.emplace(call.id, call);
    }
    timer_.After(wait, [this, id = call.id] {
      std::unique_lock lock(mutex_);
      const auto waiting = waiting_feeds_.extract(id);
      if (waiting.empty()) return;
      HttpServerResponse reply = SteadyMs() < down_until_
                                     ? Reply(503, Json::object())
                                     : Feed(waiting.mapped());
      lock.unlock();
      server_.Respond(id, std::move(reply));
    });
    RespondToFeeds();
  }

  void RespondToFeeds() {
    std::map<std::uint64_t, HttpServerResponse> replies;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [id, call] : waiting_feeds_) {
        if (HasChanges(call)) replies.emplace(id, Feed(call));
      }
      for (const auto& [id, reply] : replies) waiting_feeds_.erase(id);
    }
    for (auto& [id, reply] : replies) server_.Respond(id, std::move(reply));
  }

  bool HasChanges(const HttpServerRequest& call) const {
    const std::string table(call.Query("table"));
    const std::uint64_t after = Number(call.Query("after"));
    for (auto each = rows_.lower_bound({table, "", ""}); each != rows_.end();
         ++each) {
      if (std::get<0>(each->first) != table) return false;
      if (each->second.version > after) return true;
    }
    return false;
  }

  // Ends with the transaction that brings it to the limit of a response.
  HttpServerResponse Feed(const HttpServerRequest& call) const {
    const std::string table(call.Query("table"));
    const std::uint64_t after = Number(call.Query("after"));
    std::vector<std::pair<std::uint64_t, Json>> changed;
    for (auto each = rows_.lower_bound({table, "", ""}); each != rows_.end();
         ++each) {
      const auto& [name, row] = *each;
      if (std::get<0>(name) != table) break;
      if (row.version <= after) continue;
      Json out = {{"table", table},
                  {"part", std::get<1>(name)},
                  {"key", std::get<2>(name)},
                  {"ver", row.version}};
      if (row.removed) {
        out["tombstone"] = true;
      } else {
        out["value"] = row.value;
      }
      changed.emplace_back(row.version, std::move(out));
    }
    std::sort(changed.begin(), changed.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    Json rows = Json::array();
    std::uint64_t last = version_;
    std::size_t bytes = 0;
    for (auto& [version, row] : changed) {
      const bool full = rows.size() >= kPageRows || bytes >= kPageBytes;
      if (full && version != rows.back()["ver"].get<std::uint64_t>()) {
        last = rows.back()["ver"].get<std::uint64_t>();
        break;
      }
      if (row.contains("value")) {
        bytes += row["value"].get_ref<const std::string&>().size();
      }
      rows.push_back(std::move(row));
    }
    return Reply(200, {{"rows", rows}, {"ver", last}, {"nowMs", SteadyMs()}});
  }

  const std::int64_t tx_time_;
  const std::size_t row_bytes_;
  EventLog log_;
  std::mutex mutex_;
  std::map<Name, Row> rows_;
  std::uint64_t version_ = 0;
  std::int64_t down_until_ = 0;
  std::map<std::string, std::int64_t> free_at_;  // by part
  std::map<std::uint64_t, HttpServerRequest> waiting_feeds_;
  chivewing::HttpServer server_;
  chivewing::TimerThread timer_;
};

}  // namespace

int RunStore(const Options& options) {
  Store store(options);
  if (!store.Start()) {
    std::cerr << "store: cannot listen\n";
    return 2;
  }
  WaitForStop();
  store.Stop();
  return 0;
}

}  // namespace review
