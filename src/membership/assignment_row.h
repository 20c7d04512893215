#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"

namespace chivewing {

// Value of a row `share/ZONE/INSTANCE`: the entry host that an instance is
// assigned to.
struct AssignmentRow {
  HostId holder;                  // empty when released
  std::uint64_t incarnation = 0;  // of the holder's process
  std::uint64_t epoch = 0;        // raised by each acquisition
};

std::string EncodeAssignmentRow(const AssignmentRow& row);
// Empty when the value is not an assignment row.
std::optional<AssignmentRow> DecodeAssignmentRow(const std::string& value);

}  // namespace chivewing
