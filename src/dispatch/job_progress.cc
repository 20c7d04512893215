#include "dispatch/job_progress.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "schema/json_object_reader.h"
#include "schema/json_parser.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;
// Keeps the order of its members.
using OrderedJson = nlohmann::ordered_json;

constexpr std::array<std::string_view, 5> kPhaseNames = {
    "queued", "running", "completed", "failed", "cancelled"};

std::optional<JobPhase> ParsePhase(std::string_view name) {
  for (std::size_t i = 0; i < kPhaseNames.size(); ++i) {
    if (kPhaseNames.at(i) == name) return static_cast<JobPhase>(i);
  }
  return std::nullopt;
}

Json ToJson(const NotedStart& start) {
  Json out = Json::object();
  if (start.isolated) out["isolated"] = true;
  if (start.worker.empty()) return out;
  out["worker"] = start.worker.value();
  out["worker_started_ms"] = start.incarnation_start.count();
  return out;
}

NotedStart ReadNotedStart(JsonObjectReader& reader) {
  NotedStart start;
  start.isolated = reader.Flag("isolated", false);
  start.worker = WorkerId(reader.Text("worker", ""));
  start.incarnation_start =
      std::chrono::milliseconds(reader.Integer("worker_started_ms", 0));
  return start;
}

// Bytes of the names and punctuation around a checkpoint.
constexpr std::size_t kCheckpointMemberBytes = 11;
// Least bytes of an open task without members.
constexpr std::size_t kLeastOpenTaskBytes = 11;
// Estimates of encoded parts, in bytes: a row or step without tasks, the index
// of a task, an open task without members, the number of a run, a noted start.
constexpr std::size_t kEmptyProgressBytes = 60;
constexpr std::size_t kIndexBytes = 6;
constexpr std::size_t kOpenTaskBytes = 40;
constexpr std::size_t kRunNumberBytes = 8;
constexpr std::size_t kNotedStartBytes = 100;

std::size_t EstimateBytes(const TaskProgress& task) {
  if (task.done) return kIndexBytes;
  if (task.empty()) return 0;
  return kOpenTaskBytes + task.saved.size() +
         kRunNumberBytes * task.failed_runs.size() +
         (task.noted_start ? kNotedStartBytes : 0);
}

// The tasks that are not done and have a checkpoint, in their order.
std::vector<TaskProgress*> TasksWithCheckpoint(JobProgress& progress) {
  std::vector<TaskProgress*> tasks;
  for (auto& [number, steps] : progress.occurrences) {
    for (StepProgress& step : steps) {
      for (auto& [index, task] : step) {
        if (!task.done && !task.saved.empty()) tasks.push_back(&task);
      }
    }
  }
  return tasks;
}

// What is written of an open task, without its index.
Json ToJson(const TaskProgress& task) {
  Json out = Json::object();
  if (!task.failed_runs.empty()) out["failed"] = task.failed_runs;
  if (!task.saved.empty()) out["saved"] = task.saved;
  if (task.crashes > 0) out["crashes"] = task.crashes;
  if (task.isolated_starts > 0) out["isolated"] = task.isolated_starts;
  if (task.noted_start) out["noted"] = ToJson(*task.noted_start);
  return out;
}

// Done tasks are written as indices, tasks with failures or a checkpoint as
// objects. Each host of the cluster reads the row, so empty members are left
// out.
Json ToJson(const StepProgress& step) {
  Json done = Json::array();
  Json open = Json::array();
  for (const auto& [index, task] : step) {
    if (task.done) {
      done.push_back(index);
      continue;
    }
    if (task.empty()) continue;
    Json item = ToJson(task);
    item["task"] = index;
    open.push_back(std::move(item));
  }
  Json out = Json::object();
  if (!done.empty()) out["done"] = std::move(done);
  if (!open.empty()) out["open"] = std::move(open);
  return out;
}

// The same, with open tasks that are alike written once, as an object with the
// list of their indices.
Json ToGroupedJson(const StepProgress& step) {
  std::map<std::string, Json> groups;  // by what their tasks have in common
  StepProgress done;
  for (const auto& [index, task] : step) {
    if (task.done) done[index] = task;
    if (task.done || task.empty()) continue;
    Json item = ToJson(task);
    const auto group = groups.try_emplace(item.dump(), std::move(item)).first;
    group->second["tasks"].push_back(index);
  }
  Json out = ToJson(done);
  for (auto& [common, group] : groups) out["alike"].push_back(std::move(group));
  return out;
}

TaskProgress ReadOpenTask(JsonObjectReader& item) {
  TaskProgress task;
  for (const JsonNode& run : item.List("failed")) {
    task.failed_runs.insert(static_cast<std::uint64_t>(run.integer));
  }
  task.saved = item.Text("saved", "");
  task.crashes = static_cast<std::size_t>(item.Integer("crashes", 0));
  task.isolated_starts = static_cast<std::size_t>(item.Integer("isolated", 0));
  if (const JsonNode* const noted = item.Object("noted")) {
    JsonObjectReader start(*noted);
    task.noted_start = ReadNotedStart(start);
    if (!start.good()) item.Fail("noted", start.problem());
  }
  return task;
}

StepProgress ReadStep(JsonObjectReader& reader) {
  StepProgress step;
  for (const JsonNode& node : reader.List("done")) {
    step[static_cast<std::size_t>(node.integer)].done = true;
  }
  for (const JsonNode& node : reader.List("open")) {
    JsonObjectReader item(node);
    const std::int64_t index = item.Integer("task");
    step[static_cast<std::size_t>(index)] = ReadOpenTask(item);
    if (!item.good()) reader.Fail("open", item.problem());
  }
  for (const JsonNode& node : reader.List("alike")) {
    JsonObjectReader item(node);
    const TaskProgress task = ReadOpenTask(item);
    for (const JsonNode& index : item.List("tasks")) {
      step[static_cast<std::size_t>(index.integer)] = task;
    }
    if (!item.good()) reader.Fail("alike", item.problem());
  }
  return step;
}

void ReadOccurrence(const JsonNode& node, JobProgress& progress,
                    JsonObjectReader& parent) {
  JsonObjectReader reader(node);
  const auto number = static_cast<std::size_t>(reader.Integer("number"));
  std::vector<StepProgress>& steps = progress.occurrences[number];
  for (const JsonNode& item : reader.List("steps")) {
    JsonObjectReader step(item);
    steps.push_back(ReadStep(step));
    if (!step.good()) parent.Fail("steps", step.problem());
  }
  if (!reader.good()) parent.Fail("occurrences", reader.problem());
}

// Finds the text of the outermost member "state" and stops there.
class PhaseFinder : public nlohmann::json_sax<Json> {
 public:
  const std::optional<JobPhase>& phase() const { return phase_; }

  bool null() override { return OnOtherValue(); }
  bool boolean(bool /*value*/) override { return OnOtherValue(); }
  bool number_integer(number_integer_t /*value*/) override {
    return OnOtherValue();
  }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return OnOtherValue();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return OnOtherValue();
  }
  bool string(string_t& value) override {
    if (!is_state_) return true;
    phase_ = ParsePhase(value);
    return false;
  }
  bool binary(binary_t& /*value*/) override { return OnOtherValue(); }
  bool start_object(std::size_t /*elements*/) override { return Open(); }
  bool key(string_t& value) override {
    is_state_ = depth_ == 1 && value == "state";
    return true;
  }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t /*elements*/) override { return Open(); }
  bool end_array() override { return Close(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  // A state that is not a text is malformed.
  bool OnOtherValue() const { return !is_state_; }
  bool Open() {
    ++depth_;
    return !is_state_;
  }
  bool Close() {
    --depth_;
    return true;
  }

  std::size_t depth_ = 0;
  bool is_state_ = false;  // the last key was the outermost "state"
  std::optional<JobPhase> phase_;
};

}  // namespace

std::string_view Name(JobPhase state) {
  return kPhaseNames.at(static_cast<std::size_t>(state));
}

namespace {

std::string Encode(const JobProgress& progress,
                   Json (*encode_step)(const StepProgress&)) {
  Json occurrences = Json::array();
  for (const auto& [number, steps] : progress.occurrences) {
    Json list = Json::array();
    for (const StepProgress& step : steps) list.push_back(encode_step(step));
    occurrences.push_back({{"number", number}, {"steps", std::move(list)}});
  }
  // The state goes first, so that a reader of the state alone can stop there.
  OrderedJson out;
  out["state"] = Name(progress.state);
  out["top_run"] = progress.highest_run;
  if (progress.finished_occurrences > 0)
    out["finished"] = progress.finished_occurrences;
  if (!occurrences.empty()) out["occurrences"] = occurrences;
  return out.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
}

}  // namespace

std::string EncodeJobProgress(const JobProgress& progress) {
  return Encode(progress, ToJson);
}

ProgressRowValue EncodeProgressRow(const JobProgress& progress,
                                   std::size_t max_bytes) {
  ProgressRowValue out{.text = EncodeJobProgress(progress)};
  if (out.text.size() <= max_bytes) return out;
  std::size_t excess = out.text.size() - max_bytes;
  JobProgress smaller = progress;
  std::vector<TaskProgress*> tasks = TasksWithCheckpoint(smaller);
  for (; excess > 0 && !tasks.empty(); tasks.pop_back()) {
    TaskProgress& task = *tasks.back();
    std::size_t freed = task.saved.size() + kCheckpointMemberBytes;
    task.saved.clear();
    if (task.empty()) freed += kLeastOpenTaskBytes;  // it is not written at all
    excess -= std::min(excess, freed);
    ++out.checkpoints_left_out;
  }
  out.text = EncodeJobProgress(smaller);
  if (out.text.size() <= max_bytes) return out;
  out.text = Encode(smaller, ToGroupedJson);
  return out;
}

std::size_t EstimateProgressBytes(const JobProgress& progress) {
  std::size_t bytes = kEmptyProgressBytes;
  for (const auto& [number, steps] : progress.occurrences) {
    for (const StepProgress& step : steps) {
      bytes += kEmptyProgressBytes;
      for (const auto& [index, task] : step) bytes += EstimateBytes(task);
    }
  }
  return bytes;
}

Result<JobPhase> DecodeJobPhase(std::string_view value) {
  PhaseFinder finder;
  Json::sax_parse(value, &finder);
  if (finder.phase()) return *finder.phase();
  return Error{ResultCode::kBadRequest, "progress row: state is not known"};
}

Result<JobProgress> DecodeJobProgress(std::string_view value) {
  const ValidationResult<JsonNode> root = ParseJson(value, "progress row");
  if (!root) return JoinErrors(ResultCode::kBadRequest, root.error());
  JsonObjectReader reader(root.value());
  JobProgress progress;
  const std::optional<JobPhase> state = ParsePhase(reader.Text("state"));
  if (!state) reader.Fail("state", "is not known");
  progress.state = state.value_or(JobPhase::kQueued);
  progress.highest_run = static_cast<std::uint64_t>(reader.Integer("top_run"));
  progress.finished_occurrences =
      static_cast<std::size_t>(reader.Integer("finished", 0));
  for (const JsonNode& node : reader.List("occurrences")) {
    ReadOccurrence(node, progress, reader);
  }
  if (!reader.good()) return Error{ResultCode::kBadRequest, reader.problem()};
  return progress;
}

}  // namespace chivewing
