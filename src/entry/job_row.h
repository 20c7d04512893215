#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"

namespace chivewing {

// The value of a row job/ID: what its caller asked for. Written by the entry
// host that the caller reached, never by a placer.
struct JobRow {
  JobId job;
  EntryName entry;
  OwnerId owner;
  int tasks = 1;
  std::chrono::milliseconds run_time{0};  // declared, of one task; 0: unknown
  ZoneId zone;                            // whose placer places it
  bool cancel_requested = false;
  std::int64_t submitted_ms = 0;  // time of day
};

// Where a job stands.
enum class JobState { kWaiting, kRunning, kDone, kCancelled, kRefused };

// The value of a row job-status/ID: what the placer made of the job. Written by
// placers only.
struct JobStatusRow {
  JobId job;
  JobState state = JobState::kWaiting;
  std::string detail;         // why it waits or was refused, in one sentence
  std::int64_t ended_ms = 0;  // time of day
};

// The prefixes and keys of the rows.
inline constexpr std::string_view kJobRowPrefix = "job/";
inline constexpr std::string_view kJobStatusRowPrefix = "job-status/";
std::string JobRowKey(const JobId& job);
std::string JobStatusRowKey(const JobId& job);

// The word for a state in rows and answers.
std::string_view JobStateName(JobState state);
bool HasEnded(JobState state);

std::string EncodeJobRow(const JobRow& row);
std::string EncodeJobStatusRow(const JobStatusRow& row);
// kBadRequest when the value is not such a row. The job's id is that of `key`.
Result<JobRow> DecodeJobRow(std::string_view key, std::string_view value);
Result<JobStatusRow> DecodeJobStatusRow(std::string_view key,
                                        std::string_view value);

}  // namespace chivewing
