#include "lease/lease_row.h"

#include <nlohmann/json.hpp>

namespace chivewing {

using Json = nlohmann::json;
using std::chrono::milliseconds;

std::string EncodeLeaseRow(const LeaseRow& row) {
  const auto lease = std::chrono::duration_cast<milliseconds>(row.lease);
  Json json = {{"host", row.host.value()},
               {"incarnation", row.incarnation},
               {"epoch", row.epoch},
               {"lease_ms", lease.count()},
               {"serial", row.serial}};
  if (row.sent_at_table) json["table_ms"] = row.sent_at_table->count();
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<LeaseRow> DecodeLeaseRow(const std::string& value) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    LeaseRow row{HostId(json.at("host").get<std::string>()),
                 json.at("incarnation").get<std::uint64_t>(),
                 json.at("epoch").get<std::uint64_t>(),
                 milliseconds(json.at("lease_ms").get<std::int64_t>()),
                 json.at("serial").get<std::uint64_t>(),
                 {}};
    const auto sent_at = json.find("table_ms");
    if (sent_at != json.end())
      row.sent_at_table = milliseconds(sent_at->get<std::int64_t>());
    return row;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace chivewing
