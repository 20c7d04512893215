#include "cell_bench/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace chivewing {
namespace {

// Positions of fields in /proc/PID/stat after the process name in parentheses.
constexpr int kUserTicksField = 11;
constexpr int kResidentPagesField = 21;
constexpr std::int64_t kMillisecondsPerSecond = 1000;
constexpr std::uint64_t kBytesPerKb = 1024;

}  // namespace

ProcessUsage ReadProcessUsage(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(file, line);
  const std::size_t name_end = line.rfind(')');
  if (name_end == std::string::npos) return {};
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kUserTicksField; ++i) fields >> skipped;
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  for (int i = kUserTicksField + 2; i < kResidentPagesField; ++i) {
    fields >> skipped;
  }
  std::uint64_t pages = 0;
  fields >> pages;
  const std::int64_t ticks = sysconf(_SC_CLK_TCK);
  const auto page = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  ProcessUsage use;
  use.processor_time = std::chrono::milliseconds(
      (user + system) * kMillisecondsPerSecond / ticks);
  use.resident_kb = pages * page / kBytesPerKb;
  return use;
}

}  // namespace chivewing
