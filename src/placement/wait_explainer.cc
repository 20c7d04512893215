#include "placement/wait_explainer.h"

#include <algorithm>

#include "placement/placer_state.h"
#include "placement/worker_choice.h"

namespace chivewing {
namespace {

std::string Seconds(Duration duration) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  return std::to_string(seconds.count()) + " s";
}

// Resources that the job needs at the same time to start.
Resources NeededAtOnce(const JobSpec& spec) {
  return spec.job_class == JobClass::kGang ? spec.per_task * spec.tasks
                                           : spec.per_task;
}

WaitReason ExplainQuota(const PlacerState& state, const JobSpec& spec) {
  const Resources quota = *state.quotas.Quota(spec.owner);
  const bool exceeds_alone = !Fits(NeededAtOnce(spec), quota);
  const std::string used = Describe(state.quotas.Used(spec.owner));
  const std::string prefix = exceeds_alone
                                 ? "the job alone needs more than the quota of "
                                 : "the quota is exhausted: ";
  return {ResultCode::kOverQuota, prefix + "owner " + spec.owner.value() +
                                      " uses " + used + " of " +
                                      Describe(quota)};
}

std::string ExplainReservation(const PlacerState& state, TimePoint now,
                               const Job& job) {
  if (!job.queue_position) return {};
  const Reservation* reservation =
      state.reservations.Find(job.queue_position->job);
  if (reservation == nullptr) return {};
  const Duration left =
      std::max(Duration(0), reservation->expected_start - now);
  return "; resources are reserved and expected to be free in " + Seconds(left);
}

WaitReason ExplainGang(const PlacerState& state, TimePoint now,
                       const Job& job) {
  const JobSpec& spec = job.spec;
  const std::int64_t fitting =
      CountFittingTasks(state.workers, spec.per_task, spec.tasks);
  if (fitting >= spec.tasks) {
    return {ResultCode::kNotPlacedYet,
            "enough resources are free; starts at the next decision"};
  }
  std::string sentence = "waits for resources for all " +
                         std::to_string(spec.tasks) + " tasks at once; " +
                         std::to_string(fitting) + " fit now";
  sentence += ExplainReservation(state, now, job);
  return {ResultCode::kNoRoom, sentence};
}

std::string ExplainInsufficientResources(const PlacerState& state,
                                         const JobSpec& spec) {
  std::size_t quarantined = 0;
  std::size_t fitting = 0;
  Resources largest;
  for (WorkerIndex index = 0; index < state.workers.end_index(); ++index) {
    if (!state.workers.Has(index)) continue;
    const Worker& worker = state.workers.at(index);
    if (worker.spec.state != WorkerState::kLive) continue;
    const Resources free = worker.spec.capacity - worker.reserved;
    largest = ComponentwiseMax(largest, free);
    if (!Fits(spec.per_task, free)) continue;
    ++fitting;
    if (worker.quarantined) ++quarantined;
  }
  if (fitting > 0 && fitting == quarantined) {
    return "waits for resources: the " + std::to_string(fitting) +
           " workers with enough free resources are in quarantine";
  }
  if (fitting > 0) {
    return "waits: " + std::to_string(fitting) +
           " workers have enough free resources, but these are reserved for a "
           "gang or urgent work, or the limit of instances in a rack is "
           "reached";
  }
  return "waits for resources: a task needs " + Describe(spec.per_task) +
         ", the most free in each dimension is " + Describe(largest);
}

bool MentionsQuarantine(const std::string& sentence) {
  return sentence.find("quarantine") != std::string::npos;
}

}  // namespace

WaitReason ExplainWait(const PlacerState& state, TimePoint now,
                       const Job& job) {
  const JobSpec& spec = job.spec;
  if (job.cancelled) {
    return {ResultCode::kCancelled, "cancelled; waiting for its tasks to stop"};
  }
  const TimePoint backoff_until = state.health.BackoffUntil(spec.id);
  if (backoff_until > now) {
    return {ResultCode::kNotPlacedYet,
            "in backoff for " + Seconds(backoff_until - now) +
                " because its tasks failed on several workers"};
  }
  if (state.MissingTasks(job) == 0) {
    if (job.tasks.empty()) return {};
    const bool restart = job.restarting;
    if (restart) {
      return {ResultCode::kNotPlacedYet,
              "starts again when all tasks of the gang have stopped"};
    }
    const bool waits_for_stop =
        spec.job_class == JobClass::kSingleton &&
        state.tasks.at(job.tasks.front()).state != TaskState::kRunning;
    if (waits_for_stop) {
      return {
          ResultCode::kNotPlacedYet,
          "its only task is starting, stopping or unreachable; another starts "
          "only after the end of that task is confirmed"};
    }
    return {};
  }
  if (state.workers.size() == 0) {
    return {ResultCode::kNotPlacedYet, "no worker is known yet"};
  }
  const std::string never_fits = state.ExplainNeverFits(spec);
  if (!never_fits.empty()) return {ResultCode::kNeverFits, never_fits};
  if (!state.quotas.Allows(spec.owner, NeededAtOnce(spec))) {
    return ExplainQuota(state, spec);
  }
  if (spec.job_class == JobClass::kGang) return ExplainGang(state, now, job);
  const std::string reason = ExplainInsufficientResources(state, spec) +
                             ExplainReservation(state, now, job);
  return {MentionsQuarantine(reason) ? ResultCode::kWorkerQuarantined
                                     : ResultCode::kNoRoom,
          reason};
}

}  // namespace chivewing
