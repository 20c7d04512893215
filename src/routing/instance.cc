#include "routing/instance.h"

#include <algorithm>

#include "routing/invariant.h"

namespace chivewing {
namespace {

constexpr double kServiceTimeWeight = 0.05;
constexpr std::uint32_t kTrialSuccesses = 5;
// Connections kept for probes: one now, one of a holder before.
constexpr std::uint32_t kReservedConnections = 2;

bool KeepsConnection(TargetOutcome outcome) {
  return IsDone(outcome) || outcome == TargetOutcome::kRefusedNoSlot ||
         outcome == TargetOutcome::kRefusedLeaving;
}

bool MayStillRun(TargetOutcome outcome) {
  return !IsDone(outcome) && !CertainlyNotRun(outcome);
}

}  // namespace

Instance::Instance(const InstanceInfo& view)
    : view_(view), service_time_(kServiceTimeWeight) {}

std::uint32_t Instance::abandoned_slots() const {
  return static_cast<std::uint32_t>(abandoned_slots_.size());
}

bool Instance::dispatchable() const {
  if (removed_ || view_.state != InstanceState::kInUse) return false;
  return health_ == Health::kHealthy || health_ == Health::kProbation;
}

bool Instance::needs_probe() const {
  if (removed_) return false;
  if (health_ == Health::kSuspect || health_ == Health::kEjected) return true;
  return !abandoned_slots_.empty() || foreign_ > 0;
}

std::uint32_t Instance::ConnectionBound() const {
  if (view_.connections <= kReservedConnections) return 1;
  return view_.connections - kReservedConnections;
}

std::uint32_t Instance::usable_slots() const {
  if (!dispatchable()) return 0;
  return health_ == Health::kProbation ? 1 : view_.slots;
}

std::uint32_t Instance::free_slots() const {
  const std::uint32_t used = in_flight_ + abandoned_slots();
  const std::uint32_t usable = usable_slots();
  if (used >= usable) return 0;
  const std::uint32_t bound = ConnectionBound();
  const std::uint32_t taken = open_ + foreign_;
  const std::uint32_t openable = taken >= bound ? 0 : bound - taken;
  return std::min(usable - used, idle_ + openable);
}

bool Instance::Start() {
  CheckInvariant(dispatchable(), "only an instance in use gets new work");
  CheckInvariant(in_flight_ + abandoned_slots() < view_.slots,
                 "an instance is not given more than its slots");
  ++in_flight_;
  if (idle_ > 0) {
    --idle_;
    return false;
  }
  ++open_;
  CheckInvariant(open_ <= view_.connections,
                 "an instance is not given more than its connections");
  return true;
}

void Instance::End(TargetOutcome outcome, bool fresh,
                   const AbandonedSlot& left) {
  --in_flight_;
  const bool never_opened = outcome == TargetOutcome::kNotSent && fresh;
  if (KeepsConnection(outcome) ||
      (outcome == TargetOutcome::kNotSent && !never_opened)) {
    ++idle_;
  } else {
    --open_;
  }
  if (MayStillRun(outcome)) AddAbandonedSlot(left);
}

void Instance::AddAbandonedSlot(const AbandonedSlot& left) {
  if (in_flight_ + abandoned_slots_.size() >= view_.slots) return;
  abandoned_slots_.push_back(left);
}

void Instance::MarkAllSlotsAbandoned(const AbandonedSlot& left) {
  while (in_flight_ + abandoned_slots_.size() < view_.slots) {
    abandoned_slots_.push_back(left);
  }
  foreign_ = view_.connections - std::min(view_.connections, open_ + 1);
  foreign_span_ = left;
}

void Instance::ApplyStatus(const TargetStatus& status, TimePoint asked_at) {
  // Which of the requests still runs is not told: it may be the one that can
  // run longest.
  std::sort(abandoned_slots_.begin(), abandoned_slots_.end(),
            [](const AbandonedSlot& a, const AbandonedSlot& b) {
              return a.until > b.until;
            });
  std::uint32_t kept = 0;
  const auto is_over = [&](const AbandonedSlot& each) {
    if (each.arrives_by > asked_at) return false;
    return ++kept > status.running;
  };
  abandoned_slots_.erase(
      std::remove_if(abandoned_slots_.begin(), abandoned_slots_.end(), is_over),
      abandoned_slots_.end());
  if (foreign_span_.arrives_by > asked_at) return;
  foreign_ = std::min(foreign_, status.connections);
}

void Instance::Expire(TimePoint now) {
  const auto is_over = [now](const AbandonedSlot& each) {
    return each.until <= now;
  };
  abandoned_slots_.erase(
      std::remove_if(abandoned_slots_.begin(), abandoned_slots_.end(), is_over),
      abandoned_slots_.end());
  if (foreign_span_.until <= now) foreign_ = 0;
}

std::optional<TimePoint> Instance::NextExpiry() const {
  std::optional<TimePoint> next;
  if (foreign_ > 0) next = foreign_span_.until;
  for (const AbandonedSlot& each : abandoned_slots_) {
    if (!next || each.until < *next) next = each.until;
  }
  return next;
}

void Instance::DropIdleConnections() {
  open_ -= idle_;
  idle_ = 0;
}

void Instance::set_health(Health health) {
  health_ = health;
  successes_ = 0;
  good_probes_ = 0;
  if (health != Health::kProbation) return;
  failures_ = 0;
  slow_ = false;
  service_time_.Reset();
}

void Instance::AddSuccess(Duration service) {
  failures_ = 0;
  service_time_.Add(service);
  if (health_ != Health::kProbation) return;
  if (++successes_ >= kTrialSuccesses) health_ = Health::kHealthy;
}

std::uint32_t Instance::RecordProbeResult(bool good) {
  good_probes_ = good ? good_probes_ + 1 : 0;
  return good_probes_;
}

}  // namespace chivewing
