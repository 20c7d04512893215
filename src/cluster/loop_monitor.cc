#include "cluster/loop_monitor.h"

#include <algorithm>

namespace chivewing {
namespace {

constexpr std::chrono::seconds kSummaryInterval{1};

std::string Milliseconds(Duration value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

}  // namespace

std::string_view Name(LoopWork work) {
  switch (work) {
    case LoopWork::kCallers:
      return "callers";
    case LoopWork::kTable:
      return "table";
    case LoopWork::kLease:
      return "lease";
    case LoopWork::kWorkers:
      return "workers";
    case LoopWork::kPeers:
      return "peers";
    case LoopWork::kDeciding:
      return "deciding";
    case LoopWork::kTableTimer:
      return "timers";
  }
  return "unlisted";
}

void LoopMonitor::Add(LoopWork work, Duration spent) {
  totals_.busy.at(static_cast<std::size_t>(work)) += spent;
}

void LoopMonitor::AddIteration(Duration spent, std::size_t events,
                               std::size_t waiting) {
  totals_.events += events;
  ++totals_.iterations;
  longest_iteration_ = std::max(longest_iteration_, spent);
  most_waiting_ = std::max(most_waiting_, waiting);
}

std::optional<std::string> LoopMonitor::TakeSummary(TimePoint now) {
  if (now < reported_at_ + kSummaryInterval) return std::nullopt;
  std::string line =
      "events=" + std::to_string(totals_.events - reported_.events) +
      " iterations=" +
      std::to_string(totals_.iterations - reported_.iterations) +
      " longest_ms=" + Milliseconds(longest_iteration_) +
      " most_waiting=" + std::to_string(most_waiting_);
  for (std::size_t kind = 0; kind < kLoopWorkKinds; ++kind) {
    line.append(" ")
        .append(Name(static_cast<LoopWork>(kind)))
        .append("_ms=")
        .append(Milliseconds(totals_.busy.at(kind) - reported_.busy.at(kind)));
  }
  reported_ = totals_;
  reported_at_ = now;
  longest_iteration_ = Duration{0};
  most_waiting_ = 0;
  return line;
}

}  // namespace chivewing
