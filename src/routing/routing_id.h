#pragma once

#include <cstdint>

namespace chivewing {

// One dispatch of a request to an instance; unique within one Router.
enum class DispatchId : std::uint64_t {};
// One forward of a request to a peer; increases within one Router.
enum class ForwardId : std::uint64_t {};
// One status request to an instance; unique within one Router.
enum class ProbeId : std::uint64_t {};

}  // namespace chivewing
