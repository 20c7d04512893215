#include "entry/job_row.h"

#include <array>
#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 5> kStateNames = {
    "waiting", "running", "done", "cancelled", "refused"};
constexpr double kMillisecondsPerSecond = 1e3;

Result<JobState> ParseState(const std::string& word) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == word) return static_cast<JobState>(i);
  }
  return Error{ResultCode::kBadRequest, "unknown job state: " + word};
}

JobId JobIdFromKey(std::string_view key, std::string_view prefix) {
  return JobId(std::string(key.substr(prefix.size())));
}

}  // namespace

std::string JobRowKey(const JobId& job) {
  return std::string(kJobRowPrefix) + job.value();
}

std::string JobStatusRowKey(const JobId& job) {
  return std::string(kJobStatusRowPrefix) + job.value();
}

std::string_view JobStateName(JobState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

bool HasEnded(JobState state) {
  return state != JobState::kWaiting && state != JobState::kRunning;
}

std::string EncodeJobRow(const JobRow& row) {
  const double run_s =
      static_cast<double>(row.run_time.count()) / kMillisecondsPerSecond;
  const Json value = {{"entry", row.entry.value()},
                      {"owner", row.owner.value()},
                      {"tasks", row.tasks},
                      {"run_s", run_s},
                      {"zone", row.zone.value()},
                      {"cancel_asked", row.cancel_requested},
                      {"submitted_ms", row.submitted_ms}};
  return value.dump();
}

Result<JobRow> DecodeJobRow(std::string_view key, std::string_view value) {
  try {
    const Json json = Json::parse(value);
    const double run_s = json.at("run_s").get<double>();
    JobRow row;
    row.job = JobIdFromKey(key, kJobRowPrefix);
    row.entry = EntryName(json.at("entry").get<std::string>());
    row.owner = OwnerId(json.at("owner").get<std::string>());
    row.tasks = json.at("tasks").get<int>();
    row.run_time = std::chrono::milliseconds(
        static_cast<std::int64_t>(run_s * kMillisecondsPerSecond));
    row.zone = ZoneId(json.at("zone").get<std::string>());
    row.cancel_requested = json.at("cancel_asked").get<bool>();
    row.submitted_ms = json.at("submitted_ms").get<std::int64_t>();
    return row;
  } catch (const Json::exception& error) {
    return Error{ResultCode::kBadRequest, error.what()};
  }
}

std::string EncodeJobStatusRow(const JobStatusRow& row) {
  const Json value = {{"state", JobStateName(row.state)},
                      {"detail", row.detail},
                      {"ended_ms", row.ended_ms}};
  return value.dump();
}

Result<JobStatusRow> DecodeJobStatusRow(std::string_view key,
                                        std::string_view value) {
  try {
    const Json json = Json::parse(value);
    JobStatusRow row;
    row.job = JobIdFromKey(key, kJobStatusRowPrefix);
    const Result<JobState> state = ParseState(json.at("state"));
    if (!state) return state.error();
    row.state = state.value();
    row.detail = json.at("detail").get<std::string>();
    row.ended_ms = json.at("ended_ms").get<std::int64_t>();
    return row;
  } catch (const Json::exception& error) {
    return Error{ResultCode::kBadRequest, error.what()};
  }
}

}  // namespace chivewing
