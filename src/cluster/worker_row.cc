#include "cluster/worker_row.h"

#include <nlohmann/json.hpp>

#include "schema/json_object_reader.h"
#include "schema/json_parser.h"

namespace chivewing {

std::string WorkerRowKey(const WorkerId& worker) {
  return std::string(kWorkerRowPrefix) + worker.value();
}

std::string EncodeWorkerRow(const WorkerRegistration& registration) {
  const nlohmann::json out = {
      {"address", registration.address},
      {"service", registration.service},
      {"zone", registration.zone.value()},
      {"processors_milli", registration.capacity.processors_milli},
      {"memory_mb", registration.capacity.memory_mb},
      {"accelerators", registration.capacity.accelerators}};
  return out.dump();
}

Result<WorkerRegistration> DecodeWorkerRow(const WorkerId& worker,
                                           std::string_view value) {
  const ValidationResult<JsonNode> root = ParseJson(value, "worker row");
  if (!root) return JoinErrors(ResultCode::kBadRequest, root.error());
  JsonObjectReader reader(root.value());
  WorkerRegistration out;
  out.worker = worker;
  out.address = reader.Text("address");
  out.service = reader.Text("service");
  out.zone = ZoneId(reader.Text("zone"));
  out.capacity = {reader.Integer("processors_milli"),
                  reader.Integer("memory_mb"), reader.Integer("accelerators")};
  if (!reader.good()) return Error{ResultCode::kBadRequest, reader.problem()};
  return out;
}

}  // namespace chivewing
