#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster.h"

namespace review {

// A submission of one step, whose tasks all have their turn at once.
struct JudgedSubmission {
  std::string id;
  std::size_t tasks = 0;
  int cpu = 0;  // of a task, in thousandths of a core
};

// LOST, from `from_ms` on, which is `finish_s` after the end of the traffic:
// the longest time in ms for which the submission had nothing running while a
// task of it had not ended as done, there was capacity for one twice over on a
// minion that was up, and under half of the service's capacity was in use. The
// tasks of all submissions have the same size, and `minion_cpu` is that of each
// minion.
std::int64_t LongestIdle(const std::vector<MinionEvent>& events,
                         const std::vector<std::string>& minions,
                         const JudgedSubmission& submission, int minion_cpu,
                         std::int64_t from_ms, std::int64_t to_ms);

// The longest time that LOST allows.
inline constexpr std::int64_t kMostIdleMs = 3000;
inline constexpr std::int64_t kFinishMs = 14000;  // finish_s

}  // namespace review
