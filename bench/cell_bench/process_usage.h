#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>

namespace chivewing {

// Resource usage of a process since its start, as reported by the kernel.
struct ProcessUsage {
  std::chrono::milliseconds processor_time{0};
  std::uint64_t resident_kb = 0;
};

ProcessUsage ReadProcessUsage(pid_t pid);

}  // namespace chivewing
