#include "standins/platform_standin.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "store/table_codec.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kHosts = "/hosts/";
constexpr std::string_view kStateSuffix = "/state";
constexpr std::size_t kLongestPage = 10000;
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20;

HttpServerResponse JsonReply(int status, const Json& json) {
  return {.status = status,
          .body = json.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

HttpServerResponse BadRequest(const std::string& detail) {
  return JsonReply(400, {{"detail", detail}});
}

Json JsonOf(const TableRow& row) {
  Json json{{"key", row.key},
            {"version", row.version},
            {"write_id", row.write_id},
            {"value", nullptr}};
  if (row.value) json["value"] = *row.value;
  return json;
}

Json JsonOf(const std::vector<TableRow>& rows) {
  Json json = Json::array();
  for (const TableRow& row : rows) json.push_back(JsonOf(row));
  return json;
}

Json JsonOf(const PlatformHost& host) {
  return {{"id", host.id},
          {"kind", Name(host.kind)},
          {"zone", host.zone},
          {"rack", host.rack},
          {"address", host.address},
          {"state", Name(host.state)},
          {"processors_milli", host.processors_milli},
          {"memory_mb", host.memory_mb},
          {"accelerators", host.accelerators}};
}

PlatformHost HostOf(const Json& json) {
  PlatformHost host;
  host.id = json.at("id").get<std::string>();
  host.kind = ParseHostKind(json.value("kind", "worker")).value();
  host.zone = json.at("zone").get<std::string>();
  host.rack = json.value("rack", "");
  host.address = json.at("address").get<std::string>();
  host.processors_milli = json.value("processors_milli", std::int64_t{0});
  host.memory_mb = json.value("memory_mb", std::int64_t{0});
  host.accelerators = json.value("accelerators", std::int64_t{0});
  return host;
}

TableTransaction TransactionOf(const Json& json) {
  TableTransaction transaction;
  transaction.write_id = json.at("write_id").get<std::string>();
  for (const Json& each : json.at("conditions")) {
    transaction.conditions.push_back({each.at("key").get<std::string>(),
                                      each.at("version").get<std::uint64_t>()});
  }
  for (const Json& each : json.at("writes")) {
    TableWrite write{.key = each.at("key").get<std::string>()};
    const Json& value = each.at("value");
    if (!value.is_null()) write.value = value.get<std::string>();
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

bool HasRepeatedWrite(const TableTransaction& transaction) {
  std::set<std::string_view> seen;
  for (const TableWrite& write : transaction.writes) {
    if (!seen.insert(write.key).second) return true;
  }
  return false;
}

}  // namespace

PlatformStandin::PlatformStandin(const PlatformStandinOptions& options)
    : server_({.address = options.listen,
               .threads = 2,
               .max_body_bytes = kMaxBodyBytes}),
      list_lag_(options.list_lag),
      random_(options.seed) {}

PlatformStandin::~PlatformStandin() { Stop(); }

Status PlatformStandin::Start() {
  return server_.Start(
      [this](const HttpServerRequest& call) { OnCall(call); },
      [this](const std::string& json) { return OnFault(json); });
}

void PlatformStandin::SetHost(const PlatformHost& host) {
  const std::lock_guard lock(mutex_);
  hosts_[host.id].push_back({BootClock::now(), host});
}

std::optional<TableRow> PlatformStandin::Row(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (table_.version(key) == 0) return std::nullopt;
  return PresentRow(key);
}

std::vector<TableRow> PlatformStandin::Rows(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  std::vector<TableRow> rows;
  table_.ForEach(prefix, [&](const TableRow& row) { rows.push_back(row); });
  return rows;
}

CommitResponse PlatformStandin::Commit(const TableTransaction& transaction) {
  const std::lock_guard lock(mutex_);
  return CommitLocked(transaction);
}

PlatformCounts PlatformStandin::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

bool PlatformStandin::OnFault(const std::string& json) {
  const Json faults = Json::parse(json);
  const std::lock_guard lock(mutex_);
  try {
    lose_answer_percent_ =
        faults.value("lose_answer_percent", lose_answer_percent_.load());
    lose_request_percent_ =
        faults.value("lose_request_percent", lose_request_percent_.load());
    if (faults.contains("list_lag_ms")) {
      list_lag_ = std::chrono::milliseconds(faults["list_lag_ms"].get<int>());
    }
  } catch (const Json::exception&) {
    return false;
  }
  return true;
}

bool PlatformStandin::IsLost(int percent) {
  const std::lock_guard lock(mutex_);
  return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

void PlatformStandin::OnCall(const HttpServerRequest& call) {
  if (IsLost(lose_request_percent_)) {
    server_.LeaveUnanswered(call.id);
    return;
  }
  HttpServerResponse reply;
  try {
    const std::lock_guard lock(mutex_);
    reply = Route(call);
  } catch (const std::exception& error) {
    reply = BadRequest(error.what());
  }
  if (IsLost(lose_answer_percent_)) {
    server_.LeaveUnanswered(call.id);
    return;
  }
  server_.Respond(call.id, std::move(reply));
}

HttpServerResponse PlatformStandin::Route(const HttpServerRequest& call) {
  if (call.path == "/table/commit") return ReplyToCommit(call);
  if (call.path == "/table/read") return ReplyToRead(call);
  if (call.path == "/table/changes") return ReplyToChanges(call);
  if (call.path == "/counts") return ReplyToCounts();
  if (call.path == "/hosts") return ReplyToHosts(call);
  if (call.path.starts_with(kHosts)) return ReplyToHostChange(call);
  if (call.path.starts_with(kObjects)) return ReplyToObject(call);
  return {.status = 404};
}

TableRow PlatformStandin::PresentRow(const std::string& key) const {
  const TableRow* const row = table_.FindIncludingTombstone(key);
  return row == nullptr ? TableRow{.key = key} : *row;
}

CommitResponse PlatformStandin::CommitLocked(
    const TableTransaction& transaction) {
  ++counts_.commits;
  bool holds = true;
  std::vector<TableRow> present;
  for (const TableCondition& condition : transaction.conditions) {
    present.push_back(PresentRow(condition.key));
    holds = holds && present.back().version == condition.version;
  }
  if (!holds) {
    ++counts_.conflicts;
    return {.status = CommitStatus::kConflict, .rows = std::move(present)};
  }
  const std::uint64_t revision = table_.revision() + 1;
  table_.set_revision(revision);
  for (const TableWrite& write : transaction.writes) {
    table_.Apply({.key = write.key,
                  .value = write.value,
                  .version = revision,
                  .write_id = transaction.write_id});
  }
  return {.status = CommitStatus::kCommitted, .revision = revision};
}

HttpServerResponse PlatformStandin::ReplyToCommit(
    const HttpServerRequest& call) {
  const TableTransaction transaction = TransactionOf(Json::parse(call.body));
  if (HasRepeatedWrite(transaction))
    return BadRequest("a transaction writes a key twice");
  const CommitResponse answer = CommitLocked(transaction);
  if (answer.status == CommitStatus::kConflict) {
    return JsonReply(409,
                     {{"status", "conflict"}, {"rows", JsonOf(answer.rows)}});
  }
  return JsonReply(200,
                   {{"status", "committed"}, {"revision", answer.revision}});
}

HttpServerResponse PlatformStandin::ReplyToRead(const HttpServerRequest& call) {
  ++counts_.reads;
  std::vector<TableRow> rows;
  const Json body = Json::parse(call.body);
  for (const Json& key : body.at("keys")) {
    rows.push_back(PresentRow(key.get<std::string>()));
  }
  return JsonReply(200,
                   {{"revision", table_.revision()}, {"rows", JsonOf(rows)}});
}

HttpServerResponse PlatformStandin::ReplyToChanges(
    const HttpServerRequest& call) {
  ++counts_.reads;
  const std::uint64_t since =
      std::stoull("0" + std::string(call.Query("since")));
  const std::string limit(call.Query("limit"));
  std::vector<std::string> prefixes;
  const auto [first, last] = call.query.equal_range("prefix");
  for (auto each = first; each != last; ++each) {
    prefixes.push_back(each->second);
  }
  const RowChanges changes = table_.ChangedSince(
      since, prefixes, limit.empty() ? kLongestPage : std::stoul(limit));
  return JsonReply(200, {{"revision", changes.cursor},
                         {"more", changes.more},
                         {"rows", JsonOf(changes.rows)}});
}

HttpServerResponse PlatformStandin::ReplyToObject(
    const HttpServerRequest& call) {
  const std::string key = call.path.substr(kObjects.size());
  if (call.method == "PUT") {
    objects_[key] = call.body;
    return {.status = 204};
  }
  const auto found = objects_.find(key);
  if (found == objects_.end()) return {.status = 404};
  return {.body = found->second, .content_type = "application/octet-stream"};
}

std::vector<PlatformHost> PlatformStandin::ListedHosts(TimePoint now) const {
  std::vector<PlatformHost> listed;
  for (const auto& [id, changes] : hosts_) {
    const PlatformHost* latest = nullptr;
    for (const HostChange& change : changes) {
      if (change.at + list_lag_ <= now) latest = &change.host;
    }
    if (latest != nullptr) listed.push_back(*latest);
  }
  return listed;
}

HttpServerResponse PlatformStandin::ReplyToHosts(
    const HttpServerRequest& call) {
  const TimePoint now = BootClock::now();
  if (call.method == "POST") {
    const PlatformHost host = HostOf(Json::parse(call.body));
    hosts_[host.id].push_back({now, host});
    return {.status = 204};
  }
  ++counts_.reads;
  Json hosts = Json::array();
  for (const PlatformHost& host : ListedHosts(now)) {
    hosts.push_back(JsonOf(host));
  }
  return JsonReply(
      200, {{"lag_ms", list_lag_.count()}, {"hosts", std::move(hosts)}});
}

HttpServerResponse PlatformStandin::ReplyToHostChange(
    const HttpServerRequest& call) {
  std::string id = call.path.substr(kHosts.size());
  HostState state = HostState::kGone;
  if (id.ends_with(kStateSuffix)) {
    id.resize(id.size() - kStateSuffix.size());
    const Json body = Json::parse(call.body);
    state = ParseHostState(body.at("state").get<std::string>()).value();
  } else if (call.method != "DELETE") {
    return {.status = 405};
  }
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) return {.status = 404};
  PlatformHost host = found->second.back().host;
  host.state = state;
  found->second.push_back({BootClock::now(), std::move(host)});
  return {.status = 204};
}

HttpServerResponse PlatformStandin::ReplyToCounts() {
  const HttpServerCounters http = server_.counts();
  return JsonReply(200, {{"reads", counts_.reads},
                         {"commits", counts_.commits},
                         {"conflicts", counts_.conflicts},
                         {"revision", table_.revision()},
                         {"bytes_received", http.bytes_received},
                         {"bytes_sent", http.bytes_sent}});
}

}  // namespace chivewing
