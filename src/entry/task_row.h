#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"

namespace chivewing {

// State of a committed task in its row.
enum class TaskRowState {
  kStarting,  // start committed, not yet confirmed by the worker
  kRunning,
  kLeaving,  // will be stopped; gets no new requests
  kDone,     // completed; row kept until its job has ended
};

// The value of a row task/ZONE/TASK.
struct TaskRow {
  TaskId task;
  JobId job;
  EntryName entry;
  OwnerId owner;
  WorkerId worker;
  std::uint64_t epoch = 0;  // epoch of the placer that wrote it
  TaskRowState state = TaskRowState::kStarting;
  std::string address;  // IP:PORT of a service instance; empty before it runs
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  std::int64_t since_ms = 0;  // last change, ms since the Unix epoch
};

// The prefix of all task rows of a zone, and the key of one.
std::string TaskRowPrefix(const ZoneId& zone);
std::string TaskRowKey(const ZoneId& zone, const TaskId& task);

std::string EncodeTaskRow(const TaskRow& row);
// kBadRequest if the value cannot be decoded. The task's id is taken from
// `key`.
Result<TaskRow> DecodeTaskRow(std::string_view key, std::string_view value);

}  // namespace chivewing
