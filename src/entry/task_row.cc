#include "entry/task_row.h"

#include <array>
#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 4> kStateNames = {"starting", "running",
                                                         "leaving", "done"};

TaskRowState ParseState(const std::string& word) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == word) return static_cast<TaskRowState>(i);
  }
  return TaskRowState::kStarting;
}

}  // namespace

std::string TaskRowPrefix(const ZoneId& zone) {
  return "task/" + zone.value() + "/";
}

std::string TaskRowKey(const ZoneId& zone, const TaskId& task) {
  return TaskRowPrefix(zone) + task.value();
}

std::string EncodeTaskRow(const TaskRow& row) {
  const Json value = {
      {"job", row.job.value()},
      {"entry", row.entry.value()},
      {"owner", row.owner.value()},
      {"worker", row.worker.value()},
      {"epoch", row.epoch},
      {"state", kStateNames.at(static_cast<std::size_t>(row.state))},
      {"address", row.address},
      {"processors_milli", row.processors_milli},
      {"memory_mb", row.memory_mb},
      {"accelerators", row.accelerators},
      {"since_ms", row.since_ms}};
  return value.dump();
}

Result<TaskRow> DecodeTaskRow(std::string_view key, std::string_view value) {
  try {
    const Json json = Json::parse(value);
    TaskRow row;
    row.task = TaskId(std::string(key.substr(key.rfind('/') + 1)));
    row.job = JobId(json.at("job").get<std::string>());
    row.entry = EntryName(json.at("entry").get<std::string>());
    row.owner = OwnerId(json.at("owner").get<std::string>());
    row.worker = WorkerId(json.at("worker").get<std::string>());
    row.epoch = json.at("epoch").get<std::uint64_t>();
    row.state = ParseState(json.at("state").get<std::string>());
    row.address = json.at("address").get<std::string>();
    row.processors_milli = json.at("processors_milli").get<std::int64_t>();
    row.memory_mb = json.at("memory_mb").get<std::int64_t>();
    row.accelerators = json.at("accelerators").get<std::int64_t>();
    row.since_ms = json.at("since_ms").get<std::int64_t>();
    return row;
  } catch (const Json::exception& error) {
    return Error{ResultCode::kBadRequest, error.what()};
  }
}

}  // namespace chivewing
