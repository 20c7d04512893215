#include "dispatch/step_scheduler.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace chivewing {
namespace {

// Room asked about, as a multiple of what is needed: the learned share of good
// workers is a mean, and others take room in the meantime.
constexpr double kAskMargin = 1.5;
constexpr std::size_t kLeastAsked = 6;
constexpr std::size_t kMostAsked = 100;  // limit of the service
// A question is given up after its expected time, this factor and this slack.
constexpr int kAskPatience = 3;
constexpr std::chrono::milliseconds kAskSlack{300};

std::chrono::microseconds AskDuration(const AdvicePolicy& policy,
                                      std::size_t workers) {
  return policy.decide + policy.each * static_cast<std::int64_t>(workers);
}

}  // namespace

struct StepScheduler::Placing {
  StepKey key;
  TrackedJob& job;
  TrackedStep& step;
  const StepSpec& spec;
  const std::optional<AdvicePolicy>& advice;
  Resources held;                         // of a worker, by one task
  std::vector<std::size_t> waiting;       // indices of tasks
  std::map<WorkerId, std::size_t> count;  // runs of the step by worker
};

void StepScheduler::PlaceReady(TimePoint now, DispatchEffects& out) {
  const std::vector<ReadyStepKey> order(state_.ready.begin(),
                                        state_.ready.end());
  for (const ReadyStepKey& key : order) {
    TrackedJob* const job = state_.FindJob(key.step.job);
    if (job == nullptr) continue;
    TrackedStep* const step = job->FindStep(key.step.occurrence, key.step.step);
    if (step == nullptr || step->tried_version == state_.capacity_version)
      continue;
    if (!PlaceStep(now, key.step, out)) {
      step->tried_version = state_.capacity_version;
    }
  }
}

// Returns false when nothing more can be done before room comes free.
bool StepScheduler::PlaceStep(TimePoint now, const StepKey& key,
                              DispatchEffects& out) {
  TrackedJob& job = *state_.FindJob(key.job);
  const StepSpec& spec = job.spec(key.step);
  if (now < job.uncertain_until && !spec.copies_allowed) return false;
  TrackedStep& step = *job.FindStep(key.occurrence, key.step);
  Placing placing{key,       job, step, spec, job.record.queue.advice,
                  spec.size, {},  {}};
  if (spec.best_effort) placing.held.processors_milli = 0;
  placing.waiting = job.WaitingTasks(key.occurrence, key.step);
  for (const std::size_t index : state_.TasksToCopy(key)) {
    placing.waiting.push_back(index);
  }
  if (placing.waiting.empty()) return false;
  for (const TrackedTask& task : step.tasks) {
    for (const std::uint64_t id : task.runs) {
      if (const Run* const run = state_.runs.Find(id)) {
        ++placing.count[run->worker];
      }
    }
  }
  const std::size_t wanted = placing.waiting.size();
  const std::size_t placed =
      spec.gang ? PlaceGang(now, placing, out) : PlaceTasks(now, placing, out);
  if (placed == wanted) {
    state_.ClearReady(key);
  }
  if (placed == wanted) return true;
  return Ask(now, placing, wanted - placed, out);
}

bool StepScheduler::MayRun(TimePoint now, const Placing& placing,
                           const TrackedWorker& worker) const {
  if (!watch_.IsUsable(now, worker)) return false;
  const WorkerRegistration& registration = worker.registration();
  if (registration.service != placing.job.record.queue.service) return false;
  const std::string& label = placing.spec.required_label;
  return label.empty() || label == registration.kind ||
         label == registration.rack;
}

std::size_t StepScheduler::CountFitting(const Placing& placing,
                                        const TrackedWorker& worker) const {
  const std::int64_t by_room = CountFits(placing.held, worker.room());
  if (by_room <= 0) return 0;
  auto fitting = static_cast<std::size_t>(by_room);
  if (placing.spec.most_per_worker > 0) {
    const auto there = placing.count.find(worker.registration().worker);
    const std::size_t used = there == placing.count.end() ? 0 : there->second;
    const std::size_t most = placing.spec.most_per_worker;
    fitting = std::min(fitting, most > used ? most - used : 0);
  }
  return fitting;
}

// The worker with least room left over among those that may run the task; the
// rack with the data goes first.
TrackedWorker* StepScheduler::ChooseWorker(TimePoint now,
                                           const Placing& placing,
                                           const TrackedTask* task) {
  TrackedWorker* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (auto& [id, worker] : state_.workers) {
    if (!MayRun(now, placing, worker)) continue;
    if (CountFitting(placing, worker) == 0) continue;
    const TimePoint margin = now + state_.options.ticket_margin;
    if (placing.advice && !placing.step.advice.FindTicket(id, margin)) continue;
    const Resources left = worker.room() - placing.held;
    double score = static_cast<double>(left.processors_milli);
    const std::string& rack = placing.spec.data_rack;
    if (!rack.empty() && worker.registration().rack != rack) score += 1e9;
    if (task != nullptr && task->failed_on.contains(id)) score += 1e10;
    if (score >= best_score) continue;
    best_score = score;
    best = &worker;
  }
  return best;
}

std::size_t StepScheduler::PlaceTasks(TimePoint now, Placing& placing,
                                      DispatchEffects& out) {
  std::size_t placed = 0;
  for (const std::size_t index : placing.waiting) {
    TrackedTask& task = placing.step.tasks[index];
    TrackedWorker* const worker = ChooseWorker(now, placing, &task);
    if (worker == nullptr) break;
    const WorkerId id = worker->registration().worker;
    const std::string* const ticket =
        placing.step.advice.FindTicket(id, now + state_.options.ticket_margin);
    const std::uint64_t number =
        std::max(task.highest_run, placing.job.run_floor) + 1;
    const TaskKey key{placing.key.job, placing.key.occurrence, placing.key.step,
                      index};
    runs_.Start(now, placing.job, key, *worker, number,
                ticket == nullptr ? "" : *ticket, out);
    ++placing.count[id];
    ++placed;
  }
  return placed;
}

// All tasks or none; room is taken from copies until all have a place.
std::size_t StepScheduler::PlaceGang(TimePoint now, Placing& placing,
                                     DispatchEffects& out) {
  std::vector<TrackedWorker*> chosen;
  for (std::size_t i = 0; i < placing.waiting.size(); ++i) {
    TrackedWorker* const worker = ChooseWorker(now, placing, nullptr);
    if (worker == nullptr) break;
    worker->Occupy(placing.held);
    ++placing.count[worker->registration().worker];
    chosen.push_back(worker);
  }
  for (TrackedWorker* const worker : chosen) worker->Release(placing.held);
  if (chosen.size() < placing.waiting.size()) {
    for (TrackedWorker* const worker : chosen) {
      --placing.count[worker->registration().worker];
    }
    return 0;
  }
  std::uint64_t number = placing.job.run_floor;
  std::string saved;
  for (const TrackedTask& task : placing.step.tasks) {
    number = std::max(number, task.highest_run);
    if (saved.empty()) saved = task.progress.saved;
  }
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    const std::size_t index = placing.waiting[i];
    placing.step.tasks[index].progress.saved = saved;
    const WorkerId id = chosen[i]->registration().worker;
    const std::string* const ticket =
        placing.step.advice.FindTicket(id, now + state_.options.ticket_margin);
    const TaskKey key{placing.key.job, placing.key.occurrence, placing.key.step,
                      index};
    runs_.Start(now, placing.job, key, *chosen[i], number + 1,
                ticket == nullptr ? "" : *ticket, out);
  }
  return chosen.size();
}

// Asks about as many workers with room as the missing tasks are likely to need.
bool StepScheduler::Ask(TimePoint now, Placing& placing, std::size_t missing,
                        DispatchEffects& out) {
  if (!placing.advice || placing.step.advice.pending_request_id() != 0)
    return false;
  struct Candidate {
    std::size_t fitting;
    bool known_good;
    WorkerId id;
  };
  std::vector<Candidate> candidates;
  const TimePoint margin = now + state_.options.ticket_margin;
  StepAdviceCache& advice = placing.step.advice;
  for (const auto& [id, worker] : state_.workers) {
    if (advice.IsBad(id) || !MayRun(now, placing, worker)) continue;
    if (advice.FindTicket(id, margin) != nullptr) continue;
    const std::size_t fitting = CountFitting(placing, worker);
    if (fitting > 0) candidates.push_back({fitting, advice.IsApproved(id), id});
  }
  if (candidates.empty()) return false;
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              if (a.known_good != b.known_good) return a.known_good;
              return a.fitting > b.fitting;
            });
  const std::string& queue = placing.job.record.queue.name;
  const double share = state_.advice.ApprovalRate(queue);
  double expected = 0;
  PendingAdviceRequest ask;
  for (const Candidate& candidate : candidates) {
    const bool enough = expected >= kAskMargin * static_cast<double>(missing);
    if (ask.workers.size() >= kMostAsked) break;
    if (enough && ask.workers.size() >= kLeastAsked) break;
    ask.workers.insert(candidate.id);
    const auto fitting =
        static_cast<double>(std::min(candidate.fitting, missing));
    expected += candidate.known_good ? fitting : fitting * share;
  }
  const auto duration = AskDuration(*placing.advice, ask.workers.size());
  const auto asker = state_.advice.FindAdviceHost(now, duration);
  if (!asker) return false;
  const auto patience =
      std::chrono::ceil<std::chrono::milliseconds>(duration) * kAskPatience +
      kAskSlack;
  AdviceRequest effect;
  effect.advice_host = *asker;
  effect.step = placing.key;
  effect.workers.assign(ask.workers.begin(), ask.workers.end());
  effect.timeout = patience;
  ask.advice_host = *asker;
  ask.step = placing.key;
  ask.queue = queue;
  ask.sent = now;
  ask.timeout_at = now + patience;
  ask.slow = AdviceRequestManager::IsSlow(duration);
  effect.request_id = state_.advice.AddRequest(std::move(ask));
  advice.set_pending_request_id(effect.request_id);
  ++state_.counts.asks;
  out.emplace_back(std::move(effect));
  return true;
}

}  // namespace chivewing
