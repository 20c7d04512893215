#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"

namespace chivewing {

// The value of a row `share/ZONE/INSTANCE`.
struct AssignmentRow {
  HostId holder;  // empty: released
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
};

std::string EncodeAssignmentRow(const AssignmentRow& row);
// Nothing when the value is not a share row.
std::optional<AssignmentRow> DecodeAssignmentRow(const std::string& value);

}  // namespace chivewing
