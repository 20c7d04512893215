#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <thread>

#include "cases.h"
#include "clock.h"
#include "cluster.h"

namespace review {
namespace {

constexpr std::size_t kMinions = 6;
constexpr std::size_t kHosts = 3;
constexpr std::int64_t kWorkMs = 400;
constexpr std::size_t kSubmissions = 150;
constexpr std::size_t kTroubleAt = 75;  // of the submissions
constexpr std::int64_t kPauseMs = 60;   // between two
constexpr std::int64_t kSilentMs = 1000;

void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Tasks that were started after a run that ended as done and was taken note
// of, then or later.
std::set<std::string> StartedAfterDone(const std::vector<MinionEvent>& events) {
  std::set<std::string> noted;
  for (const MinionEvent& event : events) {
    if (event.what == "noted") noted.insert(event.task);
  }
  std::map<std::string, std::int64_t> done;
  std::set<std::string> again;
  for (const MinionEvent& event : events) {
    if (!noted.contains(event.task)) continue;
    if (event.what == "done") done.emplace(event.task, event.at_ms);
    if (event.what == "start" && done.contains(event.task))
      again.insert(event.task);
  }
  return again;
}

}  // namespace

int RunHistory(const CaseSettings& settings) {
  const char* const only = std::getenv("ONLY");
  const std::string part = only == nullptr ? "" : only;
  Cluster cluster(settings.program, settings.folder, settings.record);
  cluster.StartStore();
  cluster.StartMinions(kMinions);
  cluster.StartHosts(kHosts);
  if (!cluster.AwaitReady(15000)) return 2;
  Sleep(2000);
  std::size_t accepted = 0;
  std::optional<std::size_t> killed;
  for (std::size_t i = 0; i < kSubmissions; ++i) {
    const std::string number = std::to_string(1000 + i);
    StepOf step;
    step.count = 6;
    step.est_ms = kWorkMs;
    if (cluster.Submit("0000000000aa" + number, std::to_string(kWorkMs), step))
      ++accepted;
    if (settings.trouble && i == kTroubleAt) {
      const auto host = cluster.DispatchingHost();
      if (!host) return 2;
      if (part != "kill") cluster.LoseHistory(kSilentMs);
      Sleep(50);
      if (part != "history") {
        cluster.KillHost(*host);
        killed = host;
      }
    }
    if (killed && i == kTroubleAt + 10) cluster.StartHost(*killed);
    Sleep(kPauseMs);
  }
  Sleep(15000);
  const std::set<std::string> again = StartedAfterDone(cluster.Events());
  const std::string result =
      "result trouble=" + std::string(settings.trouble ? "1" : "0") +
      " accepted=" + std::to_string(accepted) +
      " tasks_started_after_a_noted_done=" + std::to_string(again.size()) +
      " TWICE=" + (again.empty() ? "held" : "broken");
  cluster.Note(result);
  std::cout << result << std::endl;
  cluster.Finish();
  if (accepted == 0) return 2;
  return again.empty() ? 0 : 1;
}

}  // namespace review
