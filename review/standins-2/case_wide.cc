#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <thread>

#include "cases.h"
#include "clock.h"
#include "cluster.h"

namespace review {
namespace {

constexpr std::size_t kMinions = 7;
constexpr std::size_t kHosts = 3;
constexpr int kCores = 16;
constexpr std::size_t kTasks = 3000;
constexpr std::int64_t kWorkMs = 1400;
constexpr std::int64_t kTroubleAfterMs = 5000;
constexpr std::int64_t kTrafficEndsAfterMs = 24000;
constexpr std::int64_t kFinishMs = 14000;  // finish_s
constexpr std::int64_t kWatchMs = 16000;
constexpr std::int64_t kIdleMs = 3000;
constexpr const char* kWide = "00000000000000a1";

void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Running tasks of the submission and of all, and the tasks of the submission
// that have ended `done`, at a time.
struct Picture {
  std::size_t running = 0;
  std::size_t running_of = 0;
  std::size_t done_of = 0;
};

Picture Look(const std::vector<MinionEvent>& events, const std::string& id,
             std::int64_t at_ms) {
  std::map<std::string, std::set<std::string>> running;
  std::set<std::string> done;
  for (const MinionEvent& event : events) {
    if (event.at_ms > at_ms) break;
    std::set<std::string>& tasks = running[event.minion];
    if (event.what == "noted") continue;
    if (event.what == "killed") tasks.clear();
    if (event.what == "start") tasks.insert(event.task);
    if (event.what != "start") tasks.erase(event.task);
    if (event.what == "done" && event.task.starts_with(id))
      done.insert(event.task);
  }
  Picture out;
  out.done_of = done.size();
  for (const auto& [minion, tasks] : running) {
    out.running += tasks.size();
    for (const std::string& task : tasks) {
      if (task.starts_with(id)) ++out.running_of;
    }
  }
  return out;
}

}  // namespace

int RunWide(const CaseSettings& settings) {
  Cluster cluster(settings.program, settings.folder, settings.record);
  cluster.StartStore();
  cluster.StartMinions(kMinions);
  cluster.StartHosts(kHosts);
  if (!cluster.AwaitReady(15000)) return 2;
  Sleep(2000);
  const std::int64_t begin = SteadyMs();
  StepOf wide;
  wide.count = kTasks;
  wide.est_ms = kWorkMs;
  if (!cluster.Submit(kWide, std::to_string(kWorkMs), wide)) return 2;
  Sleep(begin + kTroubleAfterMs - SteadyMs());
  if (settings.trouble) {
    const auto host = cluster.DispatchingHost();
    if (!host) return 2;
    cluster.KillMinion(kMinions - 1);
    cluster.KillHost(*host);
    Sleep(1000);
    cluster.StartHost(*host);
    Sleep(3500);  // three status report intervals after the minion's last
    cluster.DropRegistration(kMinions - 1);
  }
  // Small submissions go on until the traffic ends.
  std::vector<std::string> small;
  while (SteadyMs() < begin + kTrafficEndsAfterMs) {
    const std::string id =
        "00000000000000b" + std::string(1, "0123456789abcdef"[small.size()]);
    StepOf step;
    step.est_ms = kWorkMs;
    if (cluster.Submit(id, std::to_string(kWorkMs), step)) small.push_back(id);
    Sleep(3000);
  }
  const std::int64_t checked_from = WallMs() + kFinishMs;
  Sleep(kFinishMs + kWatchMs);
  std::map<std::string, std::string> states;
  states[kWide] = cluster.StateOf(kWide);
  for (const std::string& id : small) states[id] = cluster.StateOf(id);
  const std::vector<MinionEvent> events = cluster.Events();
  std::size_t minions = kMinions - (settings.trouble ? 1 : 0);
  const std::size_t capacity = minions * kCores;
  std::int64_t idle_since = 0;
  std::int64_t longest = 0;
  for (std::int64_t at = checked_from; at <= WallMs(); at += 100) {
    const Picture seen = Look(events, kWide, at);
    const bool stuck = seen.running_of == 0 && seen.done_of < kTasks &&
                       2 * seen.running < capacity;
    if (!stuck) idle_since = 0;
    if (stuck && idle_since == 0) idle_since = at;
    if (stuck) longest = std::max(longest, at - idle_since);
  }
  const Picture last = Look(events, kWide, WallMs());
  std::size_t unshown = 0;
  for (const std::string& id : small) {
    if (Look(events, id, WallMs()).done_of == 1 && states[id] != "completed")
      ++unshown;
  }
  const bool broken = longest >= kIdleMs;
  std::string result =
      "result trouble=" + std::string(settings.trouble ? "1" : "0") +
      " tasks=" + std::to_string(kTasks) +
      " done=" + std::to_string(last.done_of) +
      " running_at_the_end=" + std::to_string(last.running) +
      " cores=" + std::to_string(capacity) +
      " idle_with_tasks_waiting_ms=" + std::to_string(longest) +
      " state=" + states[kWide] + " small=" + std::to_string(small.size()) +
      " small_done_but_not_shown=" + std::to_string(unshown) +
      " LOST=" + (broken ? "broken" : "held");
  cluster.Note(result);
  std::cout << result << std::endl;
  cluster.Finish();
  return broken ? 1 : 0;
}

}  // namespace review
