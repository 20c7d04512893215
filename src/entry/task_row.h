#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"

namespace chivewing {

// Where a committed task stands, as its row says.
enum class TaskRowState {
  kStarting,  // ordered, not yet confirmed
  kRunning,
  kLeaving,  // about to be stopped: nothing new is sent to it
  kDone,     // ended well; kept until its job has ended
};

// The value of a row task/ZONE/TASK.
struct TaskRow {
  TaskId task;
  JobId job;
  EntryName entry;
  OwnerId owner;
  WorkerId worker;
  std::uint64_t epoch = 0;  // of the placer that wrote it
  TaskRowState state = TaskRowState::kStarting;
  std::string address;  // IP:PORT of a running service
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  std::int64_t since_ms = 0;  // time of day of the last change
};

// The prefix of all task rows of a zone, and the key of one.
std::string TaskRowPrefix(const ZoneId& zone);
std::string TaskRowKey(const ZoneId& zone, const TaskId& task);

std::string EncodeTaskRow(const TaskRow& row);
// kBadRequest when the value is not a task row. The task's id is that of `key`.
Result<TaskRow> DecodeTaskRow(std::string_view key, std::string_view value);

}  // namespace chivewing
