#include <iostream>
#include <thread>

#include "cases.h"
#include "clock.h"
#include "cluster.h"

namespace review {
namespace {

constexpr std::size_t kMinions = 10;
constexpr std::size_t kHosts = 3;
constexpr int kWholeMinion = 16000;
constexpr std::int64_t kWorkMs = 4800;
constexpr std::int64_t kPeriodMs = 1400;  // gap_s of srv_flap
constexpr std::int64_t kFlapMs = 6500;    // for_s of srv_flap
constexpr std::size_t kSubmissions = 1;
constexpr const char* kLasting = "00000000000000c0";

void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace

int RunFlap(const CaseSettings& settings) {
  Cluster cluster(settings.program, settings.folder, settings.record);
  cluster.StartStore();
  cluster.StartMinions(kMinions);
  cluster.StartHosts(kHosts);
  if (!cluster.AwaitReady(15000)) return 2;
  Sleep(2000);
  // Watchers that last fill all minions but one.
  StepOf lasting;
  lasting.count = kMinions - 1;
  lasting.cpu = kWholeMinion;
  lasting.lasts = true;
  if (!cluster.Submit(kLasting, "0", lasting)) return 2;
  Sleep(3000);
  const auto victim = cluster.FreeMinion();
  if (!victim) return 2;
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < kSubmissions; ++i) {
    const std::string id = "00000000000000d" + std::to_string(i);
    StepOf step;
    step.est_ms = kWorkMs;
    if (cluster.Submit(id, std::to_string(kWorkMs), step)) ids.push_back(id);
  }
  const std::int64_t until = SteadyMs() + kFlapMs;
  while (settings.trouble && SteadyMs() < until) {
    Sleep(kPeriodMs / 2);
    cluster.KillMinion(*victim);
    Sleep(kPeriodMs / 2);
    cluster.StartMinion(*victim);
  }
  Sleep(20000);
  std::size_t shown_failed = 0;
  std::size_t completed = 0;
  for (const std::string& id : ids) {
    const std::string state = cluster.StateOf(id);
    if (state == "failed") ++shown_failed;
    if (state == "completed") ++completed;
  }
  std::size_t failed_ends = 0;
  for (const MinionEvent& event : cluster.Events()) {
    if (event.what == "failed") ++failed_ends;
  }
  // Only ends `failed` count as attempts, and there is none.
  const bool broken = shown_failed > 0 && failed_ends == 0;
  const std::string result =
      "result trouble=" + std::string(settings.trouble ? "1" : "0") +
      " accepted=" + std::to_string(ids.size()) +
      " completed=" + std::to_string(completed) +
      " shown_failed=" + std::to_string(shown_failed) +
      " ends_failed=" + std::to_string(failed_ends) +
      " LOST=" + (broken ? "broken" : "held");
  cluster.Note(result);
  std::cout << result << std::endl;
  cluster.Finish();
  if (ids.empty()) return 2;
  return broken ? 1 : 0;
}

}  // namespace review
