#pragma once

#include <cstdint>
#include <limits>

namespace chivewing {

// Dense indices of objects inside one Placer. An index is reused after its
// object is removed and is not exposed: the interface of Placer uses ids.
using WorkerIndex = std::uint32_t;
using TaskIndex = std::uint32_t;
using JobIndex = std::uint32_t;
using RackIndex = std::uint32_t;

constexpr std::uint32_t kNoIndex = std::numeric_limits<std::uint32_t>::max();

}  // namespace chivewing
