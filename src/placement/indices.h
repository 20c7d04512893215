#pragma once

#include <cstdint>
#include <limits>

namespace chivewing {

// Dense numbers of objects inside one Placer. They are reused after removal and
// never leave it; the interface speaks ids.
using WorkerIndex = std::uint32_t;
using TaskIndex = std::uint32_t;
using JobIndex = std::uint32_t;
using RackIndex = std::uint32_t;

constexpr std::uint32_t kNoIndex = std::numeric_limits<std::uint32_t>::max();

}  // namespace chivewing
