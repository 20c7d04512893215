#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

// The value of a row `placer/ZONE`.
struct LeaseRow {
  HostId host;  // holder; empty: released
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  Duration lease{0};         // in whole milliseconds
  std::uint64_t serial = 0;  // of the row's writes
};

std::string EncodeLeaseRow(const LeaseRow& row);
// Nothing when the value is not a lease row.
std::optional<LeaseRow> DecodeLeaseRow(const std::string& value);

}  // namespace chivewing
