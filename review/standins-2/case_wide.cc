#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <thread>

#include "cases.h"
#include "clock.h"
#include "cluster.h"
#include "judge.h"

namespace review {
namespace {

constexpr std::size_t kMinions = 8;  // one of them is lost: a share of 0.125
constexpr std::size_t kHosts = 3;
constexpr int kMinionCpu = 16000;
constexpr std::size_t kTasks = 3000;
constexpr std::int64_t kWorkMs = 1400;
constexpr std::int64_t kTroubleAfterMs = 5000;
constexpr std::int64_t kHostDownMs = 1000;
constexpr std::int64_t kTrafficEndsAfterMs = 24000;
constexpr std::int64_t kWatchMs = 16000;
constexpr const char* kWide = "00000000000000a1";

void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::size_t CountDone(const std::vector<MinionEvent>& events,
                      const std::string& id) {
  std::set<std::string> done;
  for (const MinionEvent& event : events) {
    if (event.what == "done" && event.task.starts_with(id))
      done.insert(event.task);
  }
  return done.size();
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
    Sleep(kHostDownMs);
    cluster.StartHost(*host);
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
  const std::int64_t finish = WallMs() + kFinishMs;
  Sleep(kFinishMs + kWatchMs);
  std::map<std::string, std::string> states;
  states[kWide] = cluster.StateOf(kWide);
  for (const std::string& id : small) states[id] = cluster.StateOf(id);
  const std::vector<MinionEvent> events = cluster.Events();
  const std::int64_t idle =
      LongestIdle(events, cluster.MinionIds(), {kWide, kTasks, wide.cpu},
                  kMinionCpu, finish, WallMs());
  const auto unshown =
      std::count_if(small.begin(), small.end(), [&](const std::string& id) {
        return CountDone(events, id) == 1 && states[id] != "completed";
      });
  const bool broken = idle >= kMostIdleMs;
  const std::string result =
      "result trouble=" + std::string(settings.trouble ? "1" : "0") +
      " tasks=" + std::to_string(kTasks) +
      " done=" + std::to_string(CountDone(events, kWide)) +
      " idle_with_tasks_waiting_ms=" + std::to_string(idle) +
      " state=" + states[kWide] + " small=" + std::to_string(small.size()) +
      " small_done_but_not_shown=" + std::to_string(unshown) +
      " LOST=" + (broken ? "broken" : "held");
  cluster.Note(result);
  std::cout << result << std::endl;
  cluster.Finish();
  return broken ? 1 : 0;
}

}  // namespace review
