#pragma once

#include <cstdint>
#include <vector>

#include "base/id.h"
#include "routing/routing_id.h"

namespace chivewing {

// Load of one service's instances at one entry host. Counts are of slots and of
// requests.
struct EntryLoad {
  EntryName entry;
  std::uint32_t slots = 0;  // usable slots, busy or free
  std::uint32_t free_slots = 0;
  std::uint32_t queued = 0;
};

// Load of an entry host as sent to one peer.
struct LoadReport {
  // Last forward received from that peer; the load does not include later ones.
  ForwardId last_forward_id{};
  std::vector<EntryLoad> entries;
};

}  // namespace chivewing
