#include "store/table_codec.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace chivewing {
namespace {

using Json = nlohmann::json;

// Replaces invalid UTF-8 instead of throwing.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Calls `decode` on the parsed body; nullopt if parsing or decoding fails.
template <typename T>
std::optional<T> Decode(const std::string& body,
                        const std::function<T(const Json&)>& decode) {
  try {
    return decode(Json::parse(body));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

TableRow RowOf(const Json& json) {
  TableRow row;
  row.key = json.at("key").get<std::string>();
  const Json& value = json.at("value");
  if (!value.is_null()) row.value = value.get<std::string>();
  row.version = json.at("version").get<std::uint64_t>();
  row.write_id = json.at("write_id").get<std::string>();
  return row;
}

std::vector<TableRow> RowsOf(const Json& json) {
  std::vector<TableRow> rows;
  const Json& list = json.at("rows");
  rows.reserve(list.size());
  for (const Json& each : list) rows.push_back(RowOf(each));
  return rows;
}

PlatformHost HostOf(const Json& json) {
  PlatformHost host;
  host.id = json.at("id").get<std::string>();
  host.zone = json.at("zone").get<std::string>();
  host.rack = json.value("rack", "");
  host.address = json.at("address").get<std::string>();
  host.kind = ParseHostKind(json.at("kind").get<std::string>())
                  .value_or(HostKind::kWorker);
  // An unknown state, from a later version of the platform, must not lead to
  // new work on the host.
  host.state = ParseHostState(json.at("state").get<std::string>())
                   .value_or(HostState::kLeaving);
  host.processors_milli = json.value("processors_milli", std::int64_t{0});
  host.memory_mb = json.value("memory_mb", std::int64_t{0});
  host.accelerators = json.value("accelerators", std::int64_t{0});
  return host;
}

}  // namespace

std::string EncodeCommit(const TableTransaction& transaction) {
  Json conditions = Json::array();
  for (const TableCondition& condition : transaction.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  Json writes = Json::array();
  for (const TableWrite& write : transaction.writes) {
    Json value = write.value ? Json(*write.value) : Json(nullptr);
    writes.push_back({{"key", write.key}, {"value", std::move(value)}});
  }
  return Dump({{"write_id", transaction.write_id},
               {"conditions", std::move(conditions)},
               {"writes", std::move(writes)}});
}

std::string EncodeRead(const std::vector<std::string>& keys) {
  return Dump({{"keys", keys}});
}

std::optional<std::uint64_t> DecodeCommitted(const std::string& body) {
  return Decode<std::uint64_t>(body, [](const Json& json) {
    return json.at("revision").get<std::uint64_t>();
  });
}

std::optional<std::vector<TableRow>> DecodeConflict(const std::string& body) {
  return Decode<std::vector<TableRow>>(body, RowsOf);
}

std::optional<ReadResponse> DecodeRead(const std::string& body) {
  return Decode<ReadResponse>(body, [](const Json& json) {
    return ReadResponse{.ok = true,
                        .revision = json.at("revision").get<std::uint64_t>(),
                        .rows = RowsOf(json)};
  });
}

std::optional<ChangesResponse> DecodeChanges(const std::string& body) {
  return Decode<ChangesResponse>(body, [](const Json& json) {
    return ChangesResponse{.ok = true,
                           .revision = json.at("revision").get<std::uint64_t>(),
                           .more = json.at("more").get<bool>(),
                           .rows = RowsOf(json)};
  });
}

std::optional<HostListResponse> DecodeHosts(const std::string& body) {
  return Decode<HostListResponse>(body, [](const Json& json) {
    HostListResponse answer{.ok = true};
    answer.lag =
        std::chrono::milliseconds(json.at("lag_ms").get<std::int64_t>());
    for (const Json& each : json.at("hosts")) {
      answer.hosts.push_back(HostOf(each));
    }
    return answer;
  });
}

std::string_view Name(HostKind kind) {
  return kind == HostKind::kWorker ? "worker" : "entry";
}

std::string_view Name(HostState state) {
  switch (state) {
    case HostState::kLive:
      return "live";
    case HostState::kLeaving:
      return "leaving";
    case HostState::kGone:
      return "gone";
  }
  return "unlisted";
}

std::optional<HostKind> ParseHostKind(std::string_view word) {
  if (word == Name(HostKind::kWorker)) return HostKind::kWorker;
  if (word == Name(HostKind::kEntry)) return HostKind::kEntry;
  return std::nullopt;
}

std::optional<HostState> ParseHostState(std::string_view word) {
  for (const HostState state :
       {HostState::kLive, HostState::kLeaving, HostState::kGone}) {
    if (word == Name(state)) return state;
  }
  return std::nullopt;
}

}  // namespace chivewing
