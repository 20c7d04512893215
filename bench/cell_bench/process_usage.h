#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>

namespace chivewing {

// What a process has used so far, as the kernel counts it.
struct ProcessUsage {
  std::chrono::milliseconds processor_time{0};
  std::uint64_t resident_kb = 0;
};

ProcessUsage ReadProcessUsage(pid_t pid);

}  // namespace chivewing
