#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

// Value of a lease row, such as `placer/ZONE`.
struct LeaseRow {
  HostId host;                    // that holds the lease; empty when released
  std::uint64_t incarnation = 0;  // of the process that holds it
  std::uint64_t epoch = 0;        // raised each time the lease is acquired
  Duration lease{0};              // length; stored in whole milliseconds
  std::uint64_t serial = 0;       // raised by each write of the row
  // The table's clock when the write was sent, from which the lease counts;
  // absent if the holder did not know it.
  std::optional<std::chrono::milliseconds> sent_at_table{};
};

std::string EncodeLeaseRow(const LeaseRow& row);
// Empty when the value is not a lease row.
std::optional<LeaseRow> DecodeLeaseRow(const std::string& value);

}  // namespace chivewing
