#pragma once

#include <cstddef>
#include <map>

#include "base/id.h"
#include "cluster/host_row.h"

namespace chivewing {

// Position of `self` among the hosts that may take a free dispatcher's lease;
// the host at position 0 takes it first. Hosts with more processor time come
// first, since deciding for all workers costs the same on each of them. Among
// equals the order alternates between the zones, so that the next host in line
// is outside the zone that the holder may have been lost with.
std::size_t LeaseRank(const HostRow& self,
                      const std::map<HostId, HostRow>& others);

}  // namespace chivewing
