#include "judge.h"

#include <algorithm>
#include <map>
#include <set>

namespace review {

std::int64_t LongestIdle(const std::vector<MinionEvent>& events,
                         const std::vector<std::string>& minions,
                         const JudgedSubmission& submission, int minion_cpu,
                         std::int64_t from_ms, std::int64_t to_ms) {
  constexpr std::int64_t step_ms = 50;
  std::map<std::string, std::set<std::string>> running;  // tasks by minion
  for (const std::string& minion : minions) running[minion];
  std::set<std::string> done;
  std::int64_t idle_since = 0;
  std::int64_t longest = 0;
  auto next = events.begin();
  for (std::int64_t at = from_ms; at <= to_ms; at += step_ms) {
    for (; next != events.end() && next->at_ms <= at; ++next) {
      if (next->what == "killed") {
        running.erase(next->minion);  // no minion is started again
        continue;
      }
      std::set<std::string>& tasks = running[next->minion];
      if (next->what == "start") {
        tasks.insert(next->task);
      } else {
        tasks.erase(next->task);
      }
      if (next->what == "done" && next->task.starts_with(submission.id))
        done.insert(next->task);
    }
    std::int64_t used = 0;
    std::size_t of_it = 0;
    std::int64_t most_free = 0;
    for (const auto& [minion, tasks] : running) {
      const std::int64_t here =
          static_cast<std::int64_t>(tasks.size()) * submission.cpu;
      used += here;
      most_free = std::max(most_free, minion_cpu - here);
      of_it += static_cast<std::size_t>(std::count_if(
          tasks.begin(), tasks.end(),
          [&](const auto& task) { return task.starts_with(submission.id); }));
    }
    const auto capacity =
        static_cast<std::int64_t>(running.size()) * minion_cpu;
    const bool idle = of_it == 0 && done.size() < submission.tasks &&
                      most_free >= 2 * submission.cpu && 2 * used < capacity;
    if (!idle) idle_since = 0;
    if (idle && idle_since == 0) idle_since = at;
    if (idle) longest = std::max(longest, at - idle_since);
  }
  return longest;
}

}  // namespace review
