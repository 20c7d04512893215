#include "cluster/metrics_text.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <utility>
#include <vector>

namespace chivewing {
namespace {

using Families = std::vector<prometheus::MetricFamily>;

constexpr double kNanosecondsPerSecond = 1e9;

double Seconds(std::chrono::nanoseconds value) {
  return static_cast<double>(value.count()) / kNanosecondsPerSecond;
}

prometheus::MetricFamily MakeFamily(std::string name, std::string help,
                                    prometheus::MetricType type) {
  prometheus::MetricFamily family;
  family.name = "chivewing_" + std::move(name);
  family.help = std::move(help);
  family.type = type;
  family.metric.emplace_back();
  return family;
}

void AddGauge(Families& out, std::string name, std::string help,
              std::uint64_t value) {
  prometheus::MetricFamily family = MakeFamily(std::move(name), std::move(help),
                                               prometheus::MetricType::Gauge);
  family.metric.front().gauge.value = static_cast<double>(value);
  out.push_back(std::move(family));
}

void AddSeconds(Families& out, std::string name, std::string help,
                Duration value) {
  prometheus::MetricFamily family = MakeFamily(std::move(name), std::move(help),
                                               prometheus::MetricType::Gauge);
  family.metric.front().gauge.value = Seconds(value);
  out.push_back(std::move(family));
}

void AddCounter(Families& out, std::string name, std::string help,
                std::uint64_t value) {
  prometheus::MetricFamily family = MakeFamily(std::move(name), std::move(help),
                                               prometheus::MetricType::Counter);
  family.metric.front().counter.value = static_cast<double>(value);
  out.push_back(std::move(family));
}

void AddLatency(Families& out, std::string name, std::string help,
                const LatencyHistogram& latency) {
  prometheus::MetricFamily family = MakeFamily(std::move(name), std::move(help),
                                               prometheus::MetricType::Summary);
  prometheus::ClientMetric::Summary& summary = family.metric.front().summary;
  summary.sample_count = latency.count();
  summary.sample_sum =
      Seconds(latency.mean()) * static_cast<double>(latency.count());
  for (const double quantile : {0.5, 0.9, 0.99}) {
    summary.quantile.push_back({quantile, Seconds(latency.Quantile(quantile))});
  }
  out.push_back(std::move(family));
}

void AddCallers(Families& out, const CallerRequestCounters& callers) {
  AddCounter(out, "jobs_accepted_total", "jobs stored and acknowledged here",
             callers.accepted);
  AddCounter(out, "cancels_accepted_total", "cancels stored here",
             callers.cancelled);
  AddCounter(out, "requests_refused_total",
             "requests answered as not run, to come back later",
             callers.refused);
  AddCounter(out, "requests_in_doubt_total",
             "requests whose outcome was not known in time",
             callers.unconfirmed);
  AddCounter(out, "requests_malformed_total",
             "requests that could not be read or name no queue",
             callers.malformed);
  AddLatency(out, "table_write_seconds",
             "from a caller's request to its stored row",
             callers.write_latency);
}

void AddStartGuard(Families& out, const StartGuard& guard) {
  prometheus::MetricFamily family = MakeFamily(
      "starts_withheld_total", "orders to start that were not sent, by reason",
      prometheus::MetricType::Counter);
  family.metric.clear();
  for (std::size_t i = 1; i < kStartFaults; ++i) {
    const auto fault = static_cast<StartFault>(i);
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    metric.label.push_back({"reason", std::string(Name(fault))});
    metric.counter.value = static_cast<double>(guard.count(fault));
  }
  out.push_back(std::move(family));
}

void AddSurplusRuns(Families& out, const SurplusRunCounts& counts) {
  prometheus::MetricFamily family = MakeFamily(
      "adopted_runs_stopped_total",
      "runs of an earlier dispatcher that were not needed, by reason",
      prometheus::MetricType::Counter);
  family.metric.clear();
  for (std::size_t i = 1; i < kSurplusReasons; ++i) {
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    metric.label.push_back(
        {"reason", std::string(Name(static_cast<SurplusReason>(i)))});
    metric.counter.value = static_cast<double>(counts.at(i));
  }
  out.push_back(std::move(family));
}

void AddStepWaits(Families& out, const DispatchState& state) {
  std::array<std::size_t, kStepWaits> steps{};
  for (const StepKey& key : state.ready.Steps()) {
    const TrackedStep& step =
        state.jobs.at(key.job).occurrences.at(key.occurrence)[key.step];
    ++steps.at(static_cast<std::size_t>(step.wait));
  }
  prometheus::MetricFamily family =
      MakeFamily("steps_waiting", "steps with waiting tasks, by what they need",
                 prometheus::MetricType::Gauge);
  family.metric.clear();
  for (std::size_t i = 0; i < kStepWaits; ++i) {
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    metric.label.push_back(
        {"reason", std::string(Name(static_cast<StepWait>(i)))});
    metric.gauge.value = static_cast<double>(steps.at(i));
  }
  out.push_back(std::move(family));
}

void AddDispatcher(Families& out, const DispatchState& state) {
  std::uint64_t unresponsive = 0;
  for (const auto& [id, worker] : state.workers) {
    if (worker.IsUnresponsive()) ++unresponsive;
  }
  AddGauge(out, "fence", "fence of the orders given", state.fence);
  AddGauge(out, "workers", "workers known", state.workers.size());
  AddGauge(out, "workers_silent", "workers without an answer", unresponsive);
  AddGauge(out, "workers_unresolved",
           "workers that may run tasks of an earlier dispatcher",
           state.unsynced_workers.size());
  AddGauge(out, "runs", "runs that may be going on", state.runs.all().size());
  AddGauge(out, "steps_ready", "steps with tasks that wait for room or advice",
           state.ready.size());
  AddStepWaits(out, state);
  AddGauge(out, "progress_unsaved", "jobs whose progress row is out of date",
           state.dirty.size());
  AddGauge(out, "rows_set_aside",
           "rows that the table refuses, of jobs and workers",
           state.refused_rows.size());
  AddCounter(out, "rows_refused_total",
             "rows that the table refused alone, repeats among them",
             state.refused_rows.count());
  const DispatchCounters& counts = state.counts;
  AddCounter(out, "starts_total", "tasks ordered to start", counts.starts);
  AddCounter(out, "start_refusals_total", "orders to start that were refused",
             counts.start_refusals);
  AddCounter(out, "start_retries_total", "orders to start sent again",
             counts.start_retries);
  AddCounter(out, "runs_done_total", "runs that ended as done",
             counts.runs_done);
  AddCounter(out, "runs_failed_total", "runs that ended as failed",
             counts.runs_failed);
  AddCounter(out, "runs_lost_total",
             "runs that were stopped, lapsed or went with their worker",
             counts.runs_lost);
  AddCounter(out, "polls_total", "polls of workers", counts.polls);
  AddCounter(out, "full_end_lists_total",
             "polls whose worker may have more ends than it listed",
             counts.full_end_lists);
  AddCounter(out, "unmet_incarnations_total",
             "polls answered by workers that have started while another host "
             "may have been dispatching",
             counts.unmet_incarnations);
  AddCounter(out, "unlisted_runs_total",
             "runs counted as lost since their worker no longer listed them",
             counts.unlisted_runs);
  AddCounter(out, "advice_asks_total", "questions to the advice service",
             counts.asks);
  AddCounter(out, "advice_failures_total", "questions without an answer",
             counts.asks_failed);
  AddCounter(out, "invariant_breaches_total", "states that must never be",
             counts.invariant_breaches);
  AddCounter(out, "unconfirmed_runs_stopped_total",
             "runs stopped with their job before their start was confirmed",
             counts.unconfirmed_runs_stopped);
  AddCounter(out, "ends_of_done_tasks_total",
             "ends as done of tasks that another run had done",
             state.repeated_ends.of_done_tasks());
  AddCounter(out, "ends_of_restarted_tasks_total",
             "ends as done of tasks that have another run",
             state.repeated_ends.of_restarted_tasks());
  AddCounter(out, "ends_after_their_job_total",
             "ends of runs whose job or occurrence is over",
             counts.ends_after_their_job);
  AddCounter(out, "ends_of_unknown_tasks_total",
             "ends of runs of tasks that their job does not have here",
             counts.ends_of_unknown_tasks);
  AddSurplusRuns(out, state.surplus_runs);
  AddCounter(out, "runs_moved_total",
             "runs stopped because their worker leaves", counts.runs_moved);
  AddCounter(out, "orphans_stopped_total", "runs whose job stayed unknown",
             counts.orphans_stopped);
  AddCounter(out, "suspected_crashes_total",
             "crashes of workers counted at a task that they had just started",
             counts.suspected_crashes);
  AddCounter(out, "tasks_given_up_total",
             "tasks given up because they crash worker after worker",
             counts.tasks_given_up);
  AddCounter(out, "stop_retries_total", "orders to stop sent again",
             counts.stop_retries);
  AddStartGuard(out, state.start_guard);
  AddLatency(out, "first_start_seconds",
             "from the acceptance of a job to its first started task",
             state.first_start);
}

}  // namespace

std::string WriteMetrics(const ClusterMetrics& metrics) {
  Families out;
  AddGauge(out, "ready", "whether this host takes callers",
           metrics.ready ? 1 : 0);
  AddGauge(out, "table_lost", "whether the table is out of reach",
           metrics.is_table_unreachable ? 1 : 0);
  AddGauge(out, "fed", "whether job states come from the dispatching host",
           metrics.is_fed ? 1 : 0);
  AddGauge(out, "desired_state_version", "desired state in force",
           metrics.desired_state_version);
  if (metrics.desired_state_read_ago) {
    AddSeconds(out, "desired_state_read_age_seconds",
               "time since the desired state was last read without an error",
               *metrics.desired_state_read_ago);
  }
  AddCounter(out, "desired_state_failed_reads_total",
             "reads of the desired state that failed",
             metrics.desired_state_failed_reads);
  AddGauge(out, "jobs_known", "jobs with a row", metrics.jobs_known);
  AddGauge(out, "peers_up", "entry hosts connected", metrics.peers_up);
  AddGauge(out, "dispatching", "whether this host dispatches",
           metrics.dispatcher == nullptr ? 0 : 1);
  AddCounter(out, "late_rows_total",
             "rows older than the lease that came after dispatching began",
             metrics.late_rows);
  AddGauge(out, "registrations_held_back",
           "entries whose service neither the desired state nor a job names",
           metrics.registrations_held_back);
  if (metrics.callers != nullptr) AddCallers(out, *metrics.callers);
  if (metrics.dispatcher != nullptr) {
    AddDispatcher(out, metrics.dispatcher->state());
  }
  return prometheus::TextSerializer().Serialize(out);
}

}  // namespace chivewing
