#include "membership/assignment_row.h"

#include <nlohmann/json.hpp>

namespace chivewing {

using Json = nlohmann::json;

std::string EncodeAssignmentRow(const AssignmentRow& row) {
  const Json json = {{"holder", row.holder.value()},
                     {"incarnation", row.incarnation},
                     {"epoch", row.epoch}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<AssignmentRow> DecodeAssignmentRow(const std::string& value) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    return AssignmentRow{HostId(json.at("holder").get<std::string>()),
                         json.at("incarnation").get<std::uint64_t>(),
                         json.at("epoch").get<std::uint64_t>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace chivewing
