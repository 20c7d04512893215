#pragma once

#include <cstdint>
#include <string>

#include "base/id.h"

namespace chivewing {

enum class InstanceState {
  kInUse,
  kLeaving,  // running work finishes, nothing new is sent
  kBlocked,  // put out of use, by the catalogue for example
};

// One instance whose share this entry host holds.
struct InstanceInfo {
  InstanceId id;
  EntryName entry;
  std::string address;  // IP:PORT
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint64_t share_epoch = 0;
  InstanceState state = InstanceState::kInUse;
};

// What an instance says of itself.
struct TargetStatus {
  std::uint32_t running = 0;
  std::uint32_t connections = 0;
  bool leaving = false;
};

}  // namespace chivewing
