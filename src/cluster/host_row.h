#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"

namespace chivewing {

// Prefix of the rows in which entry hosts find each other's addresses.
inline constexpr std::string_view kHostRowPrefix = "host/";

struct HostRow {
  HostId host{};
  ZoneId zone{};
  std::string address{};          // "ip:port" for peer connections
  std::uint64_t incarnation = 0;  // of the process that wrote the row
  // Thousandths of a core that the host may use; 0 if it is not known.
  std::int64_t processor_milli = 0;
  // True if the host takes WorkerCalls; older builds do not know them.
  bool takes_worker_calls = false;
  // True if the host takes JobFeed and JobFeedRequest; older builds do not.
  bool takes_job_feed = false;
  // True if the host takes polls that name an incarnation of the worker, and
  // lets no other one discard ends; older builds do not.
  bool takes_poll_incarnations = false;
  // True if the host takes starts that name an incarnation of the worker, and
  // lets them reach no other one; older builds do not.
  bool takes_start_incarnations = false;
};

std::string HostRowKey(const HostId& host);
std::string EncodeHostRow(const HostRow& row);
Result<HostRow> DecodeHostRow(std::string_view key, std::string_view value);

}  // namespace chivewing
