#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"

namespace chivewing {

// The value of a row job/ID: the job as its caller submitted it. Written by the
// entry host that received the request; a placer only erases it.
struct JobRow {
  JobId job;
  EntryName entry;
  OwnerId owner;
  int tasks = 1;
  std::chrono::milliseconds run_time{
      0};       // declared run time of one task; 0 if unknown
  ZoneId zone;  // zone whose placer places the job
  bool cancel_requested = false;
  std::int64_t submitted_ms = 0;  // milliseconds since the Unix epoch
};

enum class JobState { kWaiting, kRunning, kDone, kCancelled, kRefused };

// The value of a row job-status/ID: the progress of the job. Written by placers
// only.
struct JobStatusRow {
  JobId job;
  JobState state = JobState::kWaiting;
  std::string detail;         // one sentence: why it waits or was refused
  std::int64_t ended_ms = 0;  // milliseconds since the Unix epoch
};

// The prefixes and keys of the rows.
inline constexpr std::string_view kJobRowPrefix = "job/";
inline constexpr std::string_view kJobStatusRowPrefix = "job-status/";
std::string JobRowKey(const JobId& job);
std::string JobStatusRowKey(const JobId& job);

// The name of a state in rows and responses.
std::string_view JobStateName(JobState state);
bool HasEnded(JobState state);

std::string EncodeJobRow(const JobRow& row);
std::string EncodeJobStatusRow(const JobStatusRow& row);
// kBadRequest if the value cannot be decoded. The job's id is taken from `key`.
Result<JobRow> DecodeJobRow(std::string_view key, std::string_view value);
Result<JobStatusRow> DecodeJobStatusRow(std::string_view key,
                                        std::string_view value);

}  // namespace chivewing
