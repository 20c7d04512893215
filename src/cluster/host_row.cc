#include "cluster/host_row.h"

#include <nlohmann/json.hpp>

#include "schema/json_object_reader.h"
#include "schema/json_parser.h"

namespace chivewing {

std::string HostRowKey(const HostId& host) {
  return std::string(kHostRowPrefix) + host.value();
}

std::string EncodeHostRow(const HostRow& row) {
  const nlohmann::json out = {
      {"zone", row.zone.value()},
      {"address", row.address},
      {"incarnation", row.incarnation},
      {"processor_milli", row.processor_milli},
      {"takes_worker_calls", row.takes_worker_calls},
      {"takes_job_feed", row.takes_job_feed},
      {"takes_poll_incarnations", row.takes_poll_incarnations},
      {"takes_start_incarnations", row.takes_start_incarnations}};
  return out.dump();
}

Result<HostRow> DecodeHostRow(std::string_view key, std::string_view value) {
  const ValidationResult<JsonNode> root = ParseJson(value, "host row");
  if (!root) return JoinErrors(ResultCode::kBadRequest, root.error());
  JsonObjectReader reader(root.value());
  HostRow out;
  out.host = HostId(std::string(key.substr(kHostRowPrefix.size())));
  out.zone = ZoneId(reader.Text("zone"));
  out.address = reader.Text("address");
  out.incarnation = static_cast<std::uint64_t>(reader.Integer("incarnation"));
  // Absent from rows that earlier versions have written.
  out.processor_milli = reader.Integer("processor_milli", 0);
  out.takes_worker_calls = reader.Flag("takes_worker_calls", false);
  out.takes_job_feed = reader.Flag("takes_job_feed", false);
  out.takes_poll_incarnations = reader.Flag("takes_poll_incarnations", false);
  out.takes_start_incarnations = reader.Flag("takes_start_incarnations", false);
  if (!reader.good()) return Error{ResultCode::kBadRequest, reader.problem()};
  return out;
}

}  // namespace chivewing
