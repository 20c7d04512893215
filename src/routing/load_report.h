#pragma once

#include <cstdint>
#include <vector>

#include "base/id.h"
#include "routing/routing_id.h"

namespace chivewing {

// Load of one service's instances at one entry host.
struct EntryLoad {
  EntryName entry;
  std::uint32_t slots = 0;  // usable ones, busy or free
  std::uint32_t free_slots = 0;
  std::uint32_t queued = 0;
};

// What an entry host tells one peer of its load.
struct LoadReport {
  // Last hop received from that peer: later ones are not counted in here.
  ForwardId last_forward_id{};
  std::vector<EntryLoad> entries;
};

}  // namespace chivewing
