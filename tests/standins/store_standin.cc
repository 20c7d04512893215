#include "standins/store_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform/wire_json.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;

// A response of the change feed ends with the first transaction that brings it
// to this many rows; nothing in it says that there are more.
constexpr std::size_t kFeedRows = 500;

HttpServerResponse Reply(int status, const Json& body) {
  HttpServerResponse reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

std::uint64_t Number(std::string_view text) {
  return text.empty() ? 0 : std::stoull(std::string(text));
}

}  // namespace

StoreStandin::StoreStandin(std::size_t page_rows)
    : page_rows_(page_rows), server_({}) {
  const Status started =
      server_.Start([this](const HttpServerRequest& call) { OnCall(call); });
  if (!started) std::abort();
}

StoreStandin::~StoreStandin() {
  server_.Stop();
  timer_.Stop();
}

std::string StoreStandin::address() const {
  return "127.0.0.1:" + std::to_string(server_.port());
}

void StoreStandin::Put(const std::string& table, const std::string& part,
                       const std::string& key, const std::string& value) {
  {
    const std::lock_guard lock(mutex_);
    rows_[{table, part, key}] = {wire::EncodeBase64(value), ++version_, false};
  }
  RespondToFeeds();
}

void StoreStandin::Remove(const std::string& table, const std::string& part,
                          const std::string& key) {
  {
    const std::lock_guard lock(mutex_);
    rows_[{table, part, key}] = {"", ++version_, true};
  }
  RespondToFeeds();
}

std::size_t StoreStandin::CountRows(const std::string& table) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(rows_.begin(), rows_.end(), [&table](const auto& item) {
        return std::get<0>(item.first) == table && !item.second.removed;
      }));
}

void StoreStandin::OnCall(const HttpServerRequest& call) {
  if (refuse_with != 0) {
    server_.Respond(call.id, Reply(refuse_with, Json::object()));
    return;
  }
  if (call.path == "/rows-feed") {
    OnFeedCall(call);
    return;
  }
  HttpServerResponse reply = Reply(404, Json::object());
  if (call.path == "/rows-tx") {
    if (IsRejected(call.body)) {
      ++rejected_transactions;
      server_.Respond(call.id, Reply(400, Json::object()));
      return;
    }
    reply = Transact(call.body);
    RespondToFeeds();
    if (lose_answers) reply.truncate_body_after = 1;
  } else if (call.path == "/rows-get") {
    reply = GetRows(call);
  } else if (call.path == "/rows-parts") {
    reply = ListParts(call);
    if (after_listing) after_listing();
  }
  server_.Respond(call.id, std::move(reply));
}

void StoreStandin::OnFeedCall(const HttpServerRequest& call) {
  if (history_lost.exchange(false)) {
    server_.Respond(call.id, Reply(410, Json::object()));
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    waiting_feeds_.emplace(call.id, call);
  }
  const std::chrono::milliseconds wait(Number(call.Query("waitMs")));
  timer_.After(wait, [this, id = call.id] {
    std::unique_lock lock(mutex_);
    const auto waiting = waiting_feeds_.extract(id);
    if (waiting.empty()) return;
    HttpServerResponse reply = Feed(waiting.mapped());
    lock.unlock();
    server_.Respond(id, std::move(reply));
  });
  RespondToFeeds();
}

void StoreStandin::RespondToFeeds() {
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

bool StoreStandin::HasChanges(const HttpServerRequest& call) const {
  const std::string table(call.Query("table"));
  const std::uint64_t after = Number(call.Query("after"));
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
    return std::get<0>(item.first) == table && item.second.version > after;
  });
}

bool StoreStandin::IsRejected(const std::string& body) const {
  constexpr std::size_t base64_group = 4;
  constexpr std::size_t base64_bytes = 3;
  const Json tx = Json::parse(body);
  for (const char* const list : {"expected", "writes", "remove"}) {
    for (const Json& row : tx[list]) {
      if (row["key"].get_ref<const std::string&>().size() > max_key_bytes)
        return true;
    }
  }
  return std::any_of(
      tx["writes"].begin(), tx["writes"].end(), [this](const Json& row) {
        const std::string& value = row["value"].get_ref<const std::string&>();
        return value.size() / base64_group * base64_bytes >
               max_value_bytes + base64_bytes;
      });
}

HttpServerResponse StoreStandin::Transact(const std::string& body) {
  const Json tx = Json::parse(body);
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
    return Reply(412, {{"rows", present}, {"ver", version_}, {"nowMs", 1}});
  }
  ++version_;
  for (const Json& row : tx["writes"]) {
    rows_[name(row)] = {row["value"], version_, false};
  }
  for (const Json& row : tx["remove"]) rows_[name(row)] = {"", version_, true};
  return Reply(200, {{"ver", version_}, {"nowMs", 1}});
}

HttpServerResponse StoreStandin::GetRows(const HttpServerRequest& call) {
  const std::lock_guard lock(mutex_);
  const std::string table(call.Query("table"));
  const std::string part(call.Query("part"));
  const std::string from(call.Query("from"));
  const std::string end(call.Query("target"));
  const std::uint64_t limit = Number(call.Query("limit"));
  const std::size_t most = limit == 0 ? page_rows_ : limit;
  Json rows = Json::array();
  bool more = false;
  for (const auto& [name, row] : rows_) {
    const auto& [row_table, row_part, key] = name;
    if (row_table != table || row_part != part || key < from) continue;
    if (row.removed || (!end.empty() && key >= end)) continue;
    if (rows.size() == most) {
      more = true;
      break;
    }
    rows.push_back({{"table", table},
                    {"part", part},
                    {"key", key},
                    {"value", row.value},
                    {"ver", row.version}});
  }
  return Reply(
      200,
      {{"rows", rows}, {"morePages", more}, {"ver", version_}, {"nowMs", 1}});
}

HttpServerResponse StoreStandin::ListParts(const HttpServerRequest& call) {
  const std::lock_guard lock(mutex_);
  const std::string table(call.Query("table"));
  std::vector<std::string> parts;
  for (const auto& [name, row] : rows_) {
    if (std::get<0>(name) != table) continue;
    const std::string& part = std::get<1>(name);
    if (parts.empty() || parts.back() != part) parts.push_back(part);
  }
  return Reply(200, {{"parts", parts}, {"ver", version_}, {"nowMs", 1}});
}

HttpServerResponse StoreStandin::Feed(const HttpServerRequest& call) const {
  const std::string table(call.Query("table"));
  const std::uint64_t after = Number(call.Query("after"));
  std::vector<std::pair<std::uint64_t, Json>> changed;
  for (const auto& [name, row] : rows_) {
    if (std::get<0>(name) != table || row.version <= after) continue;
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
  for (auto& [version, row] : changed) {
    const bool full = rows.size() >= kFeedRows;
    if (full && version != rows.back()["ver"].get<std::uint64_t>()) {
      last = rows.back()["ver"].get<std::uint64_t>();
      break;
    }
    rows.push_back(std::move(row));
  }
  return Reply(200, {{"rows", rows}, {"ver", last}, {"nowMs", 1}});
}

}  // namespace chivewing
