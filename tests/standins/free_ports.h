#pragma once

#include <cstdint>
#include <vector>

namespace chivewing {

// Distinct ports of 127.0.0.1 that were free when checked. They lie below the
// kernel's ephemeral port range, so that no outgoing connection takes one
// before the caller binds it.
std::vector<std::uint16_t> FreePorts(std::size_t count);

}  // namespace chivewing
