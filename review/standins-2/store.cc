#include "store.h"

#include <algorithm>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

#include "clock.h"

namespace review {
namespace {

using chivewing::HttpServerRequest;
using chivewing::HttpServerResponse;
using Json = nlohmann::json;

constexpr std::size_t kRowBytes = 65536;  // platform.rowBytes
constexpr std::size_t kNameBytes = 200;   // of table, part and key
constexpr std::size_t kPageRows = 500;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxCallBytes = std::size_t{1} << 20;
// The site: 4 ms an answer, txMs, partWritesS, writesPerS, readsPerS, and three
// status reports.
constexpr std::int64_t kAnswerMs = 4;
constexpr std::int64_t kTransactionMs = 8;
constexpr double kPartIntervalMs = 1000.0 / 150;
constexpr std::int64_t kMostPartWaitMs = 1000;
constexpr std::size_t kWritesPerSecond = 800;
constexpr std::size_t kReadsPerSecond = 2000;
constexpr std::int64_t kEntryMs = 3 * 1500;
constexpr std::size_t kBase64Group = 4;
constexpr std::size_t kBase64Bytes = 3;

HttpServerResponse Reply(int status, const Json& body) {
  HttpServerResponse reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

std::uint64_t Number(std::string_view text) {
  return text.empty() ? 0 : std::stoull(std::string(text));
}

std::string Base64(const std::string& bytes) {
  static constexpr std::string_view digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += kBase64Bytes) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < kBase64Bytes; ++k) {
      const bool there = i + k < bytes.size();
      group = (group << 8U) |
              (there ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < kBase64Group; ++k) {
      const bool there = i + k <= bytes.size();
      out.push_back(there ? digits[(group >> (18U - 6U * k)) & 63U] : '=');
    }
  }
  return out;
}

}  // namespace

Store::Store(const std::string& address) : server_({.address = address}) {
  const chivewing::Status started =
      server_.Start([this](const HttpServerRequest& call) { OnCall(call); });
  if (!started) {
    std::cerr << "store: cannot listen on " << address << "\n";
    std::exit(2);
  }
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      SendDue();
      EndWaits();
      ExpireEntries();
    }
  }).detach();
}

Json Store::ToJson(const Name& name, const Row& row) {
  Json out = {{"table", std::get<0>(name)},
              {"part", std::get<1>(name)},
              {"key", std::get<2>(name)},
              {"ver", row.version}};
  if (row.removed) {
    out["tombstone"] = true;
  } else {
    out["value"] = row.value;
  }
  return out;
}

bool Store::IsOverRate(std::deque<std::int64_t>& calls, std::size_t most) {
  constexpr std::int64_t second = 1000;
  const std::int64_t now = SteadyMs();
  while (!calls.empty() && calls.front() <= now - second) calls.pop_front();
  if (calls.size() >= most) return true;
  calls.push_back(now);
  return false;
}

void Store::RespondLater(std::uint64_t call, std::int64_t at_ms,
                         HttpServerResponse reply) {
  const std::lock_guard lock(later_mutex_);
  later_.emplace(at_ms, Later{call, std::move(reply)});
}

void Store::SendDue() {
  std::vector<Later> due;
  {
    const std::lock_guard lock(later_mutex_);
    while (!later_.empty() && later_.begin()->first <= SteadyMs()) {
      due.push_back(std::move(later_.begin()->second));
      later_.erase(later_.begin());
    }
  }
  for (Later& each : due) server_.Respond(each.call, std::move(each.reply));
}

void Store::OnCall(const HttpServerRequest& call) {
  std::int64_t at_ms = SteadyMs() + kAnswerMs;
  if (call.path == "/standin/put") {
    server_.Respond(call.id, Put(Json::parse(call.body)));
    AnswerFeeds();
    return;
  }
  bool over = false;
  {
    const std::lock_guard lock(mutex_);
    over = call.path == "/rows-tx" ? IsOverRate(writes_, kWritesPerSecond)
                                   : IsOverRate(reads_, kReadsPerSecond);
    if (!over && call.path == "/rows-feed") {
      const auto wait = static_cast<std::int64_t>(Number(call.Query("waitMs")));
      waits_[call.id] = {call, SteadyMs() + wait};
    }
  }
  if (over) {
    RespondLater(call.id, at_ms, Reply(429, Json::object()));
    return;
  }
  if (call.path != "/rows-feed") {
    HttpServerResponse reply = Reply(404, Json::object());
    if (call.path == "/rows-tx") reply = Transact(call.body, at_ms);
    if (call.path == "/rows-get") reply = GetRows(call);
    if (call.path == "/rows-parts") reply = ListParts(call);
    RespondLater(call.id, at_ms, std::move(reply));
  }
  AnswerFeeds();
}

void Store::Write(const Name& name, Row row) {
  Row& stored = rows_[name];
  const std::string& table = std::get<0>(name);
  const auto before = log_.find({table, stored.version});
  if (before != log_.end()) {
    before->second.erase(name);
    if (before->second.empty()) log_.erase(before);
  }
  stored = std::move(row);
  log_[{table, stored.version}][name] = true;
}

void Store::ExpireEntries() {
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    for (auto each = reported_at_.begin(); each != reported_at_.end();) {
      if (SteadyMs() < each->second + kEntryMs) {
        ++each;
        continue;
      }
      Write(each->first, {"", ++version_, true});
      each = reported_at_.erase(each);
      changed = true;
    }
  }
  if (changed) AnswerFeeds();
}

HttpServerResponse Store::Put(const Json& row) {
  const std::lock_guard lock(mutex_);
  const Name name{row["table"], "", row["key"]};
  Write(name, {Base64(row["value"]), ++version_, false});
  if (std::get<0>(name) == "servers") reported_at_[name] = SteadyMs();
  return Reply(200, {{"ver", version_}});
}

bool Store::HasLongName(const Json& rows) {
  return std::any_of(rows.begin(), rows.end(), [](const Json& row) {
    const auto is_long = [&row](const char* name) {
      return row[name].get_ref<const std::string&>().size() > kNameBytes;
    };
    return is_long("table") || is_long("part") || is_long("key");
  });
}

HttpServerResponse Store::Transact(const std::string& body,
                                   std::int64_t& at_ms) {
  const Json tx = Json::parse(body);
  const std::lock_guard lock(mutex_);
  const auto name = [](const Json& row) {
    return Name{row["table"], row["part"], row["key"]};
  };
  // All entries have one part.
  for (const char* const list : {"expected", "writes", "remove"}) {
    if (tx[list].empty()) continue;
    double& free_at = part_free_at_[tx[list][0]["part"]];
    const auto now = static_cast<double>(SteadyMs());
    const double begin = std::max(now, free_at);
    if (begin > now + kMostPartWaitMs) return Reply(429, Json::object());
    free_at = begin + kPartIntervalMs;
    at_ms = static_cast<std::int64_t>(begin) + kTransactionMs;
    break;
  }
  const std::size_t entries =
      tx["expected"].size() + tx["writes"].size() + tx["remove"].size();
  if (entries > kMaxEntries || body.size() > kMaxCallBytes)
    return Reply(400, {{"error", "too much for one call"}});
  if (HasLongName(tx["expected"]) || HasLongName(tx["writes"]) ||
      HasLongName(tx["remove"])) {
    std::cout << WallMs() << " refused a row with a name over " << kNameBytes
              << " bytes" << std::endl;
    return Reply(400, {{"error", "name over 200 bytes"}});
  }
  for (const Json& row : tx["writes"]) {
    const std::string& table = row["table"].get_ref<const std::string&>();
    if (table == "op" || table == "servers") return Reply(403, Json::object());
    const std::size_t bytes =
        row["value"].get_ref<const std::string&>().size() / kBase64Group *
        kBase64Bytes;
    if (bytes > kRowBytes + kBase64Bytes) {
      std::cout << WallMs() << " refused a row of " << bytes
                << " bytes key=" << row["key"] << std::endl;
      return Reply(400, {{"error", "value over rowBytes"}});
    }
  }
  bool holds = true;
  Json present = Json::array();
  for (const Json& row : tx["expected"]) {
    const auto found = rows_.find(name(row));
    const bool there = found != rows_.end() && !found->second.removed;
    const std::uint64_t version = there ? found->second.version : 0;
    holds = holds && version == row["ver"].get<std::uint64_t>();
    if (there) present.push_back(ToJson(found->first, found->second));
  }
  if (!holds) {
    return Reply(412,
                 {{"rows", present}, {"ver", version_}, {"nowMs", SteadyMs()}});
  }
  ++version_;
  for (const Json& row : tx["writes"])
    Write(name(row), {row["value"].get<std::string>(), version_, false});
  for (const Json& row : tx["remove"]) Write(name(row), {"", version_, true});
  return Reply(200, {{"ver", version_}, {"nowMs", SteadyMs()}});
}

HttpServerResponse Store::GetRows(const HttpServerRequest& call) {
  const std::lock_guard lock(mutex_);
  const std::string table(call.Query("table"));
  const std::string part(call.Query("part"));
  const std::string end(call.Query("target"));
  const std::uint64_t limit = Number(call.Query("limit"));
  const std::size_t most = limit == 0 ? kPageRows : limit;
  Json rows = Json::array();
  std::size_t bytes = 0;
  bool more = false;
  auto each = rows_.lower_bound({table, part, std::string(call.Query("from"))});
  for (; each != rows_.end(); ++each) {
    const auto& [row_table, row_part, key] = each->first;
    if (row_table != table || row_part != part) break;
    if (!end.empty() && key >= end) break;
    if (each->second.removed) continue;
    if (rows.size() == most || bytes > kMaxCallBytes / 2) {
      more = true;
      break;
    }
    bytes += each->second.value.size();
    rows.push_back(ToJson(each->first, each->second));
  }
  return Reply(200, {{"rows", rows},
                     {"morePages", more},
                     {"ver", version_},
                     {"nowMs", SteadyMs()}});
}

HttpServerResponse Store::ListParts(const HttpServerRequest& call) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> parts;
  for (const auto& [name, row] : rows_) {
    if (std::get<0>(name) != call.Query("table")) continue;
    const std::string& part = std::get<1>(name);
    if (parts.empty() || parts.back() != part) parts.push_back(part);
  }
  return Reply(200,
               {{"parts", parts}, {"ver", version_}, {"nowMs", SteadyMs()}});
}

bool Store::HasChanges(const HttpServerRequest& call) const {
  const std::string table(call.Query("table"));
  const auto next = log_.upper_bound({table, Number(call.Query("after"))});
  return next != log_.end() && next->first.first == table;
}

HttpServerResponse Store::Feed(const HttpServerRequest& call) {
  const std::string table(call.Query("table"));
  Json rows = Json::array();
  std::uint64_t last = version_;
  std::size_t bytes = 0;
  auto each = log_.upper_bound({table, Number(call.Query("after"))});
  for (; each != log_.end() && each->first.first == table; ++each) {
    if (rows.size() >= kPageRows || bytes > kMaxCallBytes / 2) {
      last = std::prev(each)->first.second;
      break;
    }
    for (const auto& [name, unused] : each->second) {
      bytes += rows_[name].value.size();
      rows.push_back(ToJson(name, rows_[name]));
    }
  }
  return Reply(200, {{"rows", rows}, {"ver", last}, {"nowMs", SteadyMs()}});
}

void Store::AnswerFeeds() {
  std::map<std::uint64_t, HttpServerResponse> replies;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, wait] : waits_) {
      if (HasChanges(wait.call)) replies.emplace(id, Feed(wait.call));
    }
    for (const auto& [id, reply] : replies) waits_.erase(id);
  }
  const std::int64_t at_ms = SteadyMs() + kAnswerMs;
  for (auto& [id, reply] : replies) RespondLater(id, at_ms, std::move(reply));
}

void Store::EndWaits() {
  std::map<std::uint64_t, HttpServerResponse> replies;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, wait] : waits_) {
      if (HasChanges(wait.call) || SteadyMs() >= wait.until_ms)
        replies.emplace(id, Feed(wait.call));
    }
    for (const auto& [id, reply] : replies) waits_.erase(id);
  }
  const std::int64_t at_ms = SteadyMs() + kAnswerMs;
  for (auto& [id, reply] : replies) RespondLater(id, at_ms, std::move(reply));
}

}  // namespace review
