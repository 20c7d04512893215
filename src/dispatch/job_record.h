#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"
#include "dispatch/job_description.h"

namespace chivewing {

// An accepted job as stored in its row. It contains a copy of its queue's
// policy, so that it can finish after the queue has been removed.
struct JobRecord {
  JobId id{};
  Queue queue{};
  JobDescription spec{};
  // Time of day of the accepting host, since 1970. It may be wrong by seconds;
  // used where there is no other.
  std::chrono::milliseconds accepted_at{0};
  // The same on the table's steady clock; absent if it was not known.
  std::optional<std::chrono::milliseconds> accepted_at_table{};
  // Version of the row that it was read from; 0 if not known. Not encoded.
  std::uint64_t row_version = 0;
};

// Keys of the rows of a job: its record, its cancellation, its progress.
std::string JobRecordKey(const JobId& job);
std::string CancelRowKey(const JobId& job);
std::string ProgressRowKey(const JobId& job);

inline constexpr std::string_view kJobRows = "job/";
inline constexpr std::string_view kCancelRows = "cancel/";
inline constexpr std::string_view kProgressRows = "progress/";

// The job of a row key that starts with `prefix`.
JobId JobOfRowKey(std::string_view key, std::string_view prefix);

// The value of the job row, as JSON. Decoding a malformed value fails with
// kBadRequest.
std::string EncodeJobRecord(const JobRecord& record);
Result<JobRecord> DecodeJobRecord(const JobId& job, std::string_view value);

}  // namespace chivewing
