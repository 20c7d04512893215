#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "cases.h"
#include "clock.h"
#include "cluster.h"
#include "judge.h"

namespace review {
namespace {

constexpr std::size_t kHosts = 3;

void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// An entry of a service that no desired state names.
std::string ForeignEntry(const std::string& address) {
  const nlohmann::json entry = {
      {"service", "billing"},
      {"addr", address},
      {"zone", "nbi-a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}},
      {"labels", {"a", "r1-0"}},
      {"born", WallMs()},
      {"seq", 1}};
  return entry.dump();
}

// Tasks that ran on two minions at the same time, by the minions' logs.
std::set<std::string> TasksRunTwice(const std::vector<MinionEvent>& events) {
  std::map<std::string, std::set<std::string>> minions;  // by running task
  std::set<std::string> twice;
  for (const MinionEvent& event : events) {
    if (event.what == "killed") continue;
    std::set<std::string>& running = minions[event.task];
    if (event.what == "start") {
      running.insert(event.minion);
    } else {
      running.erase(event.minion);
    }
    if (running.size() > 1) twice.insert(event.task);
  }
  return twice;
}

}  // namespace

int RunTwin(const CaseSettings& settings) {
  constexpr std::size_t minions = 6;
  constexpr std::int64_t work_ms = 15000;
  constexpr std::int64_t cut_ms = 2000;
  Cluster cluster(settings.program, settings.folder, settings.record);
  cluster.StartStore();
  cluster.StartMinions(minions, true);
  cluster.StartHosts(kHosts);
  if (!cluster.AwaitReady(15000)) return 2;
  Sleep(2000);
  // Half of the cores are used.
  StepOf step;
  step.count = 2 * minions;
  step.cpu = 4000;
  step.est_ms = work_ms;
  const std::string id = "00000000000000e1";
  if (!cluster.Submit(id, std::to_string(work_ms), step)) return 2;
  Sleep(4000);
  const auto victim = cluster.BusyMinion();
  if (!victim) return 2;
  if (settings.trouble) {
    cluster.KeepEntry("billing-7", ForeignEntry(cluster.AddressOf(*victim)));
    Sleep(1000);
    cluster.CutMinion(*victim, true);
    Sleep(cut_ms);
    cluster.CutMinion(*victim, false);
  }
  Sleep(work_ms + 5000);
  const std::string state = cluster.StateOf(id);
  const std::set<std::string> twice = TasksRunTwice(cluster.Events());
  const std::string result =
      "result trouble=" + std::string(settings.trouble ? "1" : "0") +
      " tasks=" + std::to_string(step.count) + " state=" + state +
      " tasks_run_twice_at_once=" + std::to_string(twice.size()) +
      " TWICE=" + (twice.empty() ? "held" : "broken");
  cluster.Note(result);
  std::cout << result << std::endl;
  cluster.Finish();
  return twice.empty() ? 0 : 1;
}

int RunForeign(const CaseSettings& settings) {
  constexpr std::size_t minions = 6;
  constexpr std::int64_t work_ms = 800;
  constexpr std::size_t submissions = 5;
  constexpr std::size_t tasks = 6;
  constexpr int task_cpu = 1000;
  constexpr int minion_cpu = 16000;
  constexpr std::size_t key_bytes = 200;  // the most that the store takes
  Cluster cluster(settings.program, settings.folder, settings.record);
  cluster.StartStore();
  if (settings.trouble) {
    const std::string port_without_listener = "127.0.0.1:9";
    std::string key = "billing/";
    key.resize(key_bytes, 'x');
    cluster.KeepEntry(key, ForeignEntry(port_without_listener));
  }
  cluster.StartMinions(minions);
  cluster.StartHosts(kHosts);
  if (!cluster.AwaitReady(15000)) return 2;
  Sleep(2000);
  std::vector<std::string> accepted;
  for (std::size_t i = 0; i < submissions; ++i) {
    const std::string id = "00000000000000f" + std::to_string(i);
    StepOf step;
    step.count = tasks;
    step.cpu = task_cpu;
    step.est_ms = work_ms;
    if (cluster.Submit(id, std::to_string(work_ms), step))
      accepted.push_back(id);
    Sleep(1000);
  }
  constexpr std::int64_t watch_ms = 5000;
  const std::int64_t finish = WallMs() + kFinishMs;
  Sleep(kFinishMs + watch_ms);
  std::size_t completed = 0;
  std::size_t lost = 0;
  for (const std::string& id : accepted) {
    if (cluster.StateOf(id) == "completed") ++completed;
  }
  const std::vector<MinionEvent> events = cluster.Events();
  for (const std::string& id : accepted) {
    const std::int64_t idle =
        LongestIdle(events, cluster.MinionIds(), {id, tasks, task_cpu},
                    minion_cpu, finish, WallMs());
    if (idle >= kMostIdleMs) ++lost;
  }
  const auto starts = std::count_if(
      events.begin(), events.end(),
      [](const MinionEvent& event) { return event.what == "start"; });
  const bool broken = lost > 0;
  const std::string result =
      "result trouble=" + std::string(settings.trouble ? "1" : "0") +
      " accepted=" + std::to_string(accepted.size()) +
      " completed=" + std::to_string(completed) +
      " starts=" + std::to_string(starts) +
      " idle_with_tasks_waiting=" + std::to_string(lost) +
      " LOST=" + (broken ? "broken" : "held");
  cluster.Note(result);
  std::cout << result << std::endl;
  cluster.Finish();
  if (accepted.empty()) return 2;
  return broken ? 1 : 0;
}

}  // namespace review
