#include "dispatch/step_scheduler.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace chivewing {
namespace {

// Capacity to request advice for, as a multiple of what is needed: the approval
// rate is only an average, and other steps take resources meanwhile.
constexpr double kRequestedCapacityFactor = 1.5;
constexpr std::size_t kMinWorkersPerRequest = 6;
constexpr std::size_t kMaxWorkersPerRequest =
    100;  // limit of the advice service
// A request times out after its expected duration times the factor, plus the
// slack.
constexpr int kTimeoutFactor = 3;
constexpr std::chrono::milliseconds kTimeoutSlack{300};

std::chrono::microseconds ExpectedDuration(const AdvicePolicy& policy,
                                           std::size_t workers) {
  return policy.decide + policy.each * static_cast<std::int64_t>(workers);
}

}  // namespace

struct StepScheduler::StepPlacement {
  StepKey key;
  TrackedJob& job;
  TrackedStep& step;
  const StepSpec& spec;
  const std::optional<AdvicePolicy>& advice;
  Resources held;                         // by one task on its worker
  std::vector<std::size_t> waiting;       // indices of the tasks to start
  std::map<WorkerId, std::size_t> count;  // runs of the step per worker
};

void StepScheduler::ScheduleReadySteps(TimePoint now, DispatchEffects& out) {
  const std::vector<ReadyStepKey> keys(state_.ready.begin(),
                                       state_.ready.end());
  for (const ReadyStepKey& key : keys) {
    TrackedJob* const job = state_.FindJob(key.step.job);
    if (job == nullptr) continue;
    TrackedStep* const step = job->FindStep(key.step.occurrence, key.step.step);
    if (step == nullptr ||
        step->tried_capacity_version == state_.capacity_version)
      continue;
    if (!PlaceStep(now, key.step, out)) {
      step->tried_capacity_version = state_.capacity_version;
    }
  }
}

// Returns false if nothing more can be done for the step before
// capacity_version rises.
bool StepScheduler::PlaceStep(TimePoint now, const StepKey& key,
                              DispatchEffects& out) {
  TrackedJob& job = *state_.FindJob(key.job);
  const StepSpec& spec = job.spec(key.step);
  if (now < job.uncertain_until && !spec.copies_allowed) return false;
  TrackedStep& step = *job.FindStep(key.occurrence, key.step);
  StepPlacement placement{key,       job, step, spec, job.record.queue.advice,
                          spec.size, {},  {}};
  if (spec.best_effort) placement.held.processors_milli = 0;
  placement.waiting = job.WaitingTasks(key.occurrence, key.step);
  for (const std::size_t index : state_.TasksToCopy(key)) {
    placement.waiting.push_back(index);
  }
  if (placement.waiting.empty()) return false;
  for (const TrackedTask& task : step.tasks) {
    for (const std::uint64_t id : task.runs) {
      if (const Run* const run = state_.runs.Find(id)) {
        ++placement.count[run->worker];
      }
    }
  }
  const std::size_t wanted = placement.waiting.size();
  const std::size_t placed = spec.gang ? PlaceGang(now, placement, out)
                                       : PlaceTasks(now, placement, out);
  if (placed == wanted) {
    state_.ClearReady(key);
  }
  if (placed == wanted) return true;
  return RequestAdvice(now, placement, wanted - placed, out);
}

bool StepScheduler::MayRun(TimePoint now, const StepPlacement& placement,
                           const TrackedWorker& worker) const {
  if (!worker_manager_.AcceptsTasks(now, worker)) return false;
  const WorkerRegistration& registration = worker.registration();
  if (registration.service != placement.job.record.queue.service) return false;
  const std::string& label = placement.spec.required_label;
  return label.empty() || label == registration.kind ||
         label == registration.rack;
}

std::size_t StepScheduler::CountFitting(const StepPlacement& placement,
                                        const TrackedWorker& worker) const {
  const std::int64_t by_resources =
      CountFits(placement.held, worker.free_resources());
  if (by_resources <= 0) return 0;
  auto fitting = static_cast<std::size_t>(by_resources);
  if (placement.spec.most_per_worker > 0) {
    const auto existing = placement.count.find(worker.registration().worker);
    const std::size_t used =
        existing == placement.count.end() ? 0 : existing->second;
    const std::size_t most = placement.spec.most_per_worker;
    fitting = std::min(fitting, most > used ? most - used : 0);
  }
  return fitting;
}

// Of the workers that may run the task, the one with the fewest free processors
// left after it. Workers outside the data's rack come after all others, and
// workers on which the task has failed come last.
TrackedWorker* StepScheduler::ChooseWorker(TimePoint now,
                                           const StepPlacement& placement,
                                           const TrackedTask* task) {
  TrackedWorker* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (auto& [id, worker] : state_.workers) {
    if (!MayRun(now, placement, worker)) continue;
    if (CountFitting(placement, worker) == 0) continue;
    const TimePoint margin = now + state_.options.ticket_margin;
    if (placement.advice && !placement.step.advice.FindTicket(id, margin))
      continue;
    const Resources left = worker.free_resources() - placement.held;
    double score = static_cast<double>(left.processors_milli);
    const std::string& rack = placement.spec.data_rack;
    if (!rack.empty() && worker.registration().rack != rack) score += 1e9;
    if (task != nullptr && task->failed_on.contains(id)) score += 1e10;
    if (score >= best_score) continue;
    best_score = score;
    best = &worker;
  }
  return best;
}

std::size_t StepScheduler::PlaceTasks(TimePoint now, StepPlacement& placement,
                                      DispatchEffects& out) {
  std::size_t placed = 0;
  for (const std::size_t index : placement.waiting) {
    TrackedTask& task = placement.step.tasks[index];
    TrackedWorker* const worker = ChooseWorker(now, placement, &task);
    if (worker == nullptr) break;
    const WorkerId id = worker->registration().worker;
    const std::string* const ticket = placement.step.advice.FindTicket(
        id, now + state_.options.ticket_margin);
    const std::uint64_t number =
        std::max(task.highest_run, placement.job.run_number_floor) + 1;
    const TaskKey key{placement.key.job, placement.key.occurrence,
                      placement.key.step, index};
    runs_.Start(now, placement.job, key, *worker, number,
                ticket == nullptr ? "" : *ticket, out);
    ++placement.count[id];
    ++placed;
  }
  return placed;
}

// Starts all tasks of the gang or none. The resources are reserved while the
// workers are chosen and released before the runs start.
std::size_t StepScheduler::PlaceGang(TimePoint now, StepPlacement& placement,
                                     DispatchEffects& out) {
  std::vector<TrackedWorker*> chosen;
  for (std::size_t i = 0; i < placement.waiting.size(); ++i) {
    TrackedWorker* const worker = ChooseWorker(now, placement, nullptr);
    if (worker == nullptr) break;
    worker->Occupy(placement.held);
    ++placement.count[worker->registration().worker];
    chosen.push_back(worker);
  }
  for (TrackedWorker* const worker : chosen) worker->Release(placement.held);
  if (chosen.size() < placement.waiting.size()) {
    for (TrackedWorker* const worker : chosen) {
      --placement.count[worker->registration().worker];
    }
    return 0;
  }
  std::uint64_t number = placement.job.run_number_floor;
  std::string saved;
  for (const TrackedTask& task : placement.step.tasks) {
    number = std::max(number, task.highest_run);
    if (saved.empty()) saved = task.progress.saved;
  }
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    const std::size_t index = placement.waiting[i];
    placement.step.tasks[index].progress.saved = saved;
    const WorkerId id = chosen[i]->registration().worker;
    const std::string* const ticket = placement.step.advice.FindTicket(
        id, now + state_.options.ticket_margin);
    const TaskKey key{placement.key.job, placement.key.occurrence,
                      placement.key.step, index};
    runs_.Start(now, placement.job, key, *chosen[i], number + 1,
                ticket == nullptr ? "" : *ticket, out);
  }
  return chosen.size();
}

// Requests advice about as many workers with free resources as the missing
// tasks are likely to need. Returns false if no request could be sent.
bool StepScheduler::RequestAdvice(TimePoint now, StepPlacement& placement,
                                  std::size_t missing, DispatchEffects& out) {
  if (!placement.advice || placement.step.advice.pending_request_id() != 0)
    return false;
  struct Candidate {
    std::size_t fitting;
    bool approved;
    WorkerId id;
  };
  std::vector<Candidate> candidates;
  const TimePoint margin = now + state_.options.ticket_margin;
  StepAdviceCache& advice = placement.step.advice;
  for (const auto& [id, worker] : state_.workers) {
    if (advice.IsRejected(id) || !MayRun(now, placement, worker)) continue;
    if (advice.FindTicket(id, margin) != nullptr) continue;
    const std::size_t fitting = CountFitting(placement, worker);
    if (fitting > 0) candidates.push_back({fitting, advice.IsApproved(id), id});
  }
  if (candidates.empty()) return false;
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              if (a.approved != b.approved) return a.approved;
              return a.fitting > b.fitting;
            });
  const std::string& queue = placement.job.record.queue.name;
  const double approval_rate = state_.advice.ApprovalRate(queue);
  double expected = 0;
  PendingAdviceRequest request;
  for (const Candidate& candidate : candidates) {
    const bool sufficient =
        expected >= kRequestedCapacityFactor * static_cast<double>(missing);
    if (request.workers.size() >= kMaxWorkersPerRequest) break;
    if (sufficient && request.workers.size() >= kMinWorkersPerRequest) break;
    request.workers.insert(candidate.id);
    const auto fitting =
        static_cast<double>(std::min(candidate.fitting, missing));
    expected += candidate.approved ? fitting : fitting * approval_rate;
  }
  const auto duration =
      ExpectedDuration(*placement.advice, request.workers.size());
  const auto advice_host = state_.advice.FindAdviceHost(now, duration);
  if (!advice_host) return false;
  const auto timeout =
      std::chrono::ceil<std::chrono::milliseconds>(duration) * kTimeoutFactor +
      kTimeoutSlack;
  AdviceRequest effect;
  effect.advice_host = *advice_host;
  effect.step = placement.key;
  effect.workers.assign(request.workers.begin(), request.workers.end());
  effect.timeout = timeout;
  request.advice_host = *advice_host;
  request.step = placement.key;
  request.queue = queue;
  request.sent = now;
  request.timeout_at = now + timeout;
  request.slow = AdviceRequestManager::IsSlow(duration);
  effect.request_id = state_.advice.AddRequest(std::move(request));
  advice.set_pending_request_id(effect.request_id);
  ++state_.counts.asks;
  out.emplace_back(std::move(effect));
  return true;
}

}  // namespace chivewing
