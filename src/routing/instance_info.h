#pragma once

#include <cstdint>
#include <string>

#include "base/id.h"

namespace chivewing {

enum class InstanceState {
  kInUse,    // takes requests
  kLeaving,  // running requests finish, no new ones are sent
  kBlocked,  // takes no requests, for example by an operator's catalogue entry
};

// One instance that is assigned to this entry host.
struct InstanceInfo {
  InstanceId id;
  EntryName entry;
  std::string address;  // IP:PORT
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  // Epoch of the assignment; the instance refuses requests of an older one.
  std::uint64_t share_epoch = 0;
  InstanceState state = InstanceState::kInUse;
};

// Status that an instance reports on request.
struct TargetStatus {
  std::uint32_t running = 0;      // requests
  std::uint32_t connections = 0;  // open ones, of all entry hosts
  bool leaving = false;
};

}  // namespace chivewing
