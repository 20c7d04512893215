#pragma once

#include <cstdint>
#include <vector>

namespace chivewing {

// Ports of 127.0.0.1 that were free a moment ago, all different. They lie below
// the range from which the kernel takes ports for outgoing connections, so that
// none is taken by chance before it is used.
std::vector<std::uint16_t> FreePorts(std::size_t count);

}  // namespace chivewing
