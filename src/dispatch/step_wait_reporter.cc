#include "dispatch/step_wait_reporter.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/log.h"
#include "dispatch/step_placement.h"

namespace chivewing {
namespace {

constexpr std::chrono::seconds kReportInterval{1};
// Steps and runs that wait for less are not reported.
constexpr std::chrono::seconds kReportAfter{2};
// Per interval, so that a full cluster costs no more than a few lines.
constexpr std::size_t kMaxStepsExamined = 20;
constexpr std::size_t kMaxLines = 5;

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string Describe(const StepKey& step) {
  return "job=" + step.job.value() +
         " occurrence=" + std::to_string(step.occurrence) +
         " step=" + std::to_string(step.step);
}

}  // namespace

std::optional<StepWaitDetails> ReadStepWait(TimePoint now, DispatchState& state,
                                            const StepKey& step) {
  const StepPlacement placement(state, step);
  StepWaitDetails out;
  out.waiting_tasks = placement.waiting().size();
  if (out.waiting_tasks == 0) return std::nullopt;
  const StepAdviceCache& advice = placement.step().advice;
  out.approved = advice.approved().size();
  out.pending_request_id = advice.pending_request_id();
  const std::string& service = placement.job().record.queue.service;
  for (const auto& entry : state.free_workers.OfService(service)) {
    const TrackedWorker& worker = *entry.worker;
    if (!placement.MayRun(now, worker)) continue;
    if (placement.CountFitting(worker) == 0) continue;
    ++out.workers_with_room;
    const TimePoint margin = now + state.options.ticket_margin;
    if (advice.FindTicket(entry.id, margin) != nullptr) ++out.with_ticket;
    if (advice.IsRejected(entry.id)) ++out.rejected;
  }
  return out;
}

void StepWaitReporter::Report(TimePoint now) {
  if (now < reported_at_ + kReportInterval) return;
  reported_at_ = now;
  ReportSteps(now);
  ReportRuns(now);
}

void StepWaitReporter::ReportSteps(TimePoint now) const {
  std::vector<std::pair<TimePoint, StepKey>> waiting;
  for (const StepKey& step : state_.ready.Steps()) {
    const TrackedStep* const tracked =
        state_.FindJob(step.job)->FindStep(step.occurrence, step.step);
    const TimePoint since = tracked->waiting_since;
    if (since != TimePoint{} && now >= since + kReportAfter)
      waiting.emplace_back(since, step);
  }
  const std::size_t examined = std::min(waiting.size(), kMaxStepsExamined);
  std::partial_sort(waiting.begin(),
                    waiting.begin() + static_cast<std::ptrdiff_t>(examined),
                    waiting.end());
  waiting.resize(examined);
  std::size_t lines = 0;
  for (const auto& [since, step] : waiting) {
    if (lines == kMaxLines) return;
    const auto details = ReadStepWait(now, state_, step);
    if (!details || details->workers_with_room == 0) continue;
    ++lines;
    const TrackedJob& job = *state_.FindJob(step.job);
    const StepWait wait =
        state_.FindJob(step.job)->FindStep(step.occurrence, step.step)->wait;
    LogInfo(
        LogPart::kPlacer,
        "step waits while workers have room for it " + Describe(step) +
            " waited_ms=" + Milliseconds(now - since) +
            " reason=" + std::string(Name(wait)) +
            " priority=" + std::to_string(job.record.queue.priority) +
            " tasks=" + std::to_string(details->waiting_tasks) +
            " workers_with_room=" + std::to_string(details->workers_with_room) +
            " with_ticket=" + std::to_string(details->with_ticket) +
            " rejected=" + std::to_string(details->rejected) +
            " approved=" + std::to_string(details->approved) +
            " request=" + std::to_string(details->pending_request_id));
  }
}

void StepWaitReporter::ReportRuns(TimePoint now) const {
  std::vector<std::pair<TimePoint, const Run*>> unconfirmed;
  for (const auto& [id, run] : state_.runs.all()) {
    const bool waits = !run.acknowledged && run.started_at != TimePoint{} &&
                       now >= run.started_at + kReportAfter;
    if (waits) unconfirmed.emplace_back(run.started_at, &run);
  }
  const std::size_t lines = std::min(unconfirmed.size(), kMaxLines);
  std::partial_sort(unconfirmed.begin(),
                    unconfirmed.begin() + static_cast<std::ptrdiff_t>(lines),
                    unconfirmed.end());
  unconfirmed.resize(lines);
  for (const auto& [since, run] : unconfirmed) {
    const TrackedWorker* const worker = state_.FindWorker(run->worker);
    const TaskKey& task = run->key.task;
    LogInfo(LogPart::kPlacer,
            "start is not confirmed " +
                Describe({task.job, task.occurrence, task.step}) +
                " task=" + std::to_string(task.index) +
                " run=" + std::to_string(run->key.number) +
                " worker=" + run->worker.value() +
                " waited_ms=" + Milliseconds(now - since) +
                " sends=" + std::to_string(run->send_count) +
                " unanswered=" + std::to_string(run->unanswered_sends) +
                " stop_requested=" + std::to_string(run->stop_requested) +
                " worker_unresponsive=" +
                std::to_string(worker != nullptr && worker->IsUnresponsive()));
  }
}

}  // namespace chivewing
