#pragma once

#include <cstdint>

namespace chivewing {

// One sending of a request to an instance; unique within one Router.
enum class DispatchId : std::uint64_t {};
// One forwarding of a request to a peer; rises within one Router.
enum class ForwardId : std::uint64_t {};
// One status call to an instance; unique within one Router.
enum class ProbeId : std::uint64_t {};

}  // namespace chivewing
