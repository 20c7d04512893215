#include "dispatch/job_record.h"

#include <nlohmann/json.hpp>

#include "dispatch/job_limits.h"
#include "schema/json_object_reader.h"
#include "schema/json_parser.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Json ToJson(const Queue& queue) {
  Json out = {{"name", queue.name},
              {"host", queue.host},
              {"path_prefix", queue.path_prefix},
              {"service", queue.service},
              {"priority", queue.priority},
              {"max_attempts", queue.max_attempts},
              {"stretch", queue.stretch},
              {"objective_ms", queue.objective.count()}};
  if (queue.advice) {
    out["advice"] = {{"decide_us", queue.advice->decide.count()},
                     {"each_us", queue.advice->each.count()},
                     {"valid_ms", queue.advice->valid_for.count()}};
  }
  return out;
}

Json ToJson(const StepSpec& step) {
  Json out = {{"tasks", step.task_count},
              {"processors_milli", step.size.processors_milli},
              {"memory_mb", step.size.memory_mb},
              {"estimate_ms", step.estimate.count()}};
  const auto put_flag = [&out](const char* name, bool value) {
    if (value) out[name] = true;
  };
  const auto put_text = [&out](const char* name, const std::string& value) {
    if (!value.empty()) out[name] = value;
  };
  if (step.size.accelerators > 0) out["accelerators"] = step.size.accelerators;
  if (!step.after.empty()) out["after"] = step.after;
  put_flag("checkpoints", step.checkpoints);
  put_flag("gang", step.gang);
  put_flag("one_rack", step.one_rack);
  put_flag("copies_allowed", step.copies_allowed);
  put_flag("lasting", step.long_running);
  put_flag("filler", step.best_effort);
  put_text("required_label", step.required_label);
  put_text("data_rack", step.data_rack);
  put_text("image", step.image);
  if (step.most_per_worker > 0) out["most_per_worker"] = step.most_per_worker;
  if (step.latency_target.count() > 0) {
    out["latency_target_ms"] = step.latency_target.count();
  }
  if (step.max_unavailable) out["most_missing"] = *step.max_unavailable;
  return out;
}

Queue ReadQueue(JsonObjectReader& reader) {
  Queue queue;
  queue.name = reader.Text("name");
  queue.host = reader.Text("host");
  queue.path_prefix = reader.Text("path_prefix");
  queue.service = reader.Text("service");
  queue.priority = static_cast<int>(reader.Integer("priority"));
  queue.max_attempts = static_cast<std::size_t>(reader.Integer("max_attempts"));
  queue.stretch = reader.Number("stretch", 1.0);
  queue.objective = milliseconds(reader.Integer("objective_ms"));
  if (const JsonNode* node = reader.Object("advice")) {
    JsonObjectReader advice(*node);
    queue.advice = AdvicePolicy{microseconds(advice.Integer("decide_us")),
                                microseconds(advice.Integer("each_us")),
                                milliseconds(advice.Integer("valid_ms"))};
  }
  return queue;
}

StepSpec ReadStep(JsonObjectReader& reader) {
  StepSpec step;
  step.task_count = static_cast<std::size_t>(reader.Integer("tasks"));
  step.size = {reader.Integer("processors_milli"), reader.Integer("memory_mb"),
               reader.Integer("accelerators", 0)};
  step.estimate = milliseconds(reader.Integer("estimate_ms"));
  for (const JsonNode& earlier : reader.List("after")) {
    step.after.push_back(static_cast<std::size_t>(earlier.integer));
  }
  step.checkpoints = reader.Flag("checkpoints", false);
  step.gang = reader.Flag("gang", false);
  step.one_rack = reader.Flag("one_rack", false);
  step.copies_allowed = reader.Flag("copies_allowed", false);
  step.long_running = reader.Flag("lasting", false);
  step.best_effort = reader.Flag("filler", false);
  step.required_label = reader.Text("required_label", "");
  step.data_rack = reader.Text("data_rack", "");
  step.image = reader.Text("image", "");
  step.most_per_worker =
      static_cast<std::size_t>(reader.Integer("most_per_worker", 0));
  step.latency_target = milliseconds(reader.Integer("latency_target_ms", 0));
  const std::int64_t missing = reader.Integer("most_missing", -1);
  if (missing >= 0) step.max_unavailable = static_cast<std::size_t>(missing);
  return step;
}

JobDescription ReadSpec(JsonObjectReader& reader) {
  JobDescription spec;
  spec.payload = reader.Text("payload");
  for (const JsonNode& node : reader.List("steps")) {
    JsonObjectReader step(node);
    spec.steps.push_back(ReadStep(step));
    if (!step.good()) reader.Fail("steps", step.problem());
  }
  spec.repeats = static_cast<std::size_t>(reader.Integer("repeats", 0));
  spec.first_at = milliseconds(reader.Integer("first_ms", 0));
  spec.interval = milliseconds(reader.Integer("interval_ms", 0));
  const std::string fault = FindJobFault(spec);
  if (!fault.empty()) reader.Fail("job", fault);
  return spec;
}

}  // namespace

std::string JobRecordKey(const JobId& job) {
  return std::string(kJobRows) + job.value();
}

std::string CancelRowKey(const JobId& job) {
  return std::string(kCancelRows) + job.value();
}

std::string ProgressRowKey(const JobId& job) {
  return std::string(kProgressRows) + job.value();
}

JobId JobOfRowKey(std::string_view key, std::string_view prefix) {
  return JobId(std::string(key.substr(prefix.size())));
}

std::string EncodeJobRecord(const JobRecord& record) {
  Json out = {{"queue", ToJson(record.queue)},
              {"payload", record.spec.payload},
              {"accepted_ms", record.accepted_at.count()}};
  if (record.accepted_at_table) {
    out["accepted_table_ms"] = record.accepted_at_table->count();
  }
  Json steps = Json::array();
  for (const StepSpec& step : record.spec.steps) steps.push_back(ToJson(step));
  out["steps"] = std::move(steps);
  if (record.spec.repeats > 0) {
    out["repeats"] = record.spec.repeats;
    out["first_ms"] = record.spec.first_at.count();
    out["interval_ms"] = record.spec.interval.count();
  }
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobRecord> DecodeJobRecord(const JobId& job, std::string_view value) {
  const ValidationResult<JsonNode> root = ParseJson(value, "job row");
  if (!root) return JoinErrors(ResultCode::kBadRequest, root.error());
  JsonObjectReader reader(root.value());
  JobRecord record;
  record.id = job;
  record.spec = ReadSpec(reader);
  record.accepted_at = milliseconds(reader.Integer("accepted_ms"));
  const std::int64_t table_ms = reader.Integer("accepted_table_ms", -1);
  if (table_ms >= 0) record.accepted_at_table = milliseconds(table_ms);
  if (const JsonNode* node = reader.Object("queue")) {
    JsonObjectReader queue(*node);
    record.queue = ReadQueue(queue);
    if (!queue.good()) reader.Fail("queue", queue.problem());
  } else {
    reader.Fail("queue", "is missing");
  }
  if (!reader.good()) return Error{ResultCode::kBadRequest, reader.problem()};
  return record;
}

}  // namespace chivewing
