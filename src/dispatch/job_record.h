#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"
#include "dispatch/job_description.h"

namespace chivewing {

// An accepted job, as it stands in its row. It keeps the policy of its queue,
// so that it can be finished after the queue has been dropped.
struct JobRecord {
  JobId id{};
  Queue queue{};
  JobDescription spec{};
  std::chrono::milliseconds accepted_at{0};  // since 1970
};

// Keys of the rows of a job.
std::string JobRecordKey(const JobId& job);
std::string CancelRowKey(const JobId& job);
std::string ProgressRowKey(const JobId& job);

inline constexpr std::string_view kJobRows = "job/";
inline constexpr std::string_view kCancelRows = "cancel/";
inline constexpr std::string_view kProgressRows = "progress/";

// The job that a row key with this prefix speaks of.
JobId JobOfRowKey(std::string_view key, std::string_view prefix);

std::string EncodeJobRecord(const JobRecord& record);
Result<JobRecord> DecodeJobRecord(const JobId& job, std::string_view value);

}  // namespace chivewing
