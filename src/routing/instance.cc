#include "routing/instance.h"

#include <algorithm>

#include "routing/invariant.h"

namespace chivewing {
namespace {

constexpr double kServiceTimeWeight = 0.05;
constexpr std::uint32_t kProbationSuccesses = 5;
// Connections kept free for probes: one of this host, and one of the entry host
// that the instance was assigned to before.
constexpr std::uint32_t kReservedConnections = 2;

bool KeepsConnection(TargetOutcome outcome) {
  return IsDone(outcome) || outcome == TargetOutcome::kRefusedNoSlot ||
         outcome == TargetOutcome::kRefusedLeaving;
}

bool MayStillRun(TargetOutcome outcome) {
  return !IsDone(outcome) && !CertainlyNotRun(outcome);
}

}  // namespace

Instance::Instance(const InstanceInfo& info)
    : info_(info), service_time_(kServiceTimeWeight) {}

std::uint32_t Instance::abandoned_slots() const {
  return static_cast<std::uint32_t>(abandoned_slots_.size());
}

bool Instance::dispatchable() const {
  if (removed_ || info_.state != InstanceState::kInUse) return false;
  return health_ == Health::kHealthy || health_ == Health::kProbation;
}

bool Instance::needs_probe() const {
  if (removed_) return false;
  if (health_ == Health::kSuspect || health_ == Health::kEjected) return true;
  return !abandoned_slots_.empty() || inherited_connections_ > 0;
}

std::uint32_t Instance::MaxDispatchConnections() const {
  if (info_.connections <= kReservedConnections) return 1;
  return info_.connections - kReservedConnections;
}

std::uint32_t Instance::usable_slots() const {
  if (!dispatchable()) return 0;
  return health_ == Health::kProbation ? 1 : info_.slots;
}

std::uint32_t Instance::free_slots() const {
  const std::uint32_t used = in_flight_ + abandoned_slots();
  const std::uint32_t usable = usable_slots();
  if (used >= usable) return 0;
  const std::uint32_t max_connections = MaxDispatchConnections();
  const std::uint32_t used_connections =
      open_connections_ + inherited_connections_;
  const std::uint32_t openable = used_connections >= max_connections
                                     ? 0
                                     : max_connections - used_connections;
  return std::min(usable - used, idle_connections_ + openable);
}

bool Instance::StartDispatch() {
  CheckInvariant(dispatchable(),
                 "an instance that takes no new requests was given one");
  CheckInvariant(in_flight_ + abandoned_slots() < info_.slots,
                 "an instance was given more requests than it has slots");
  ++in_flight_;
  if (idle_connections_ > 0) {
    --idle_connections_;
    return false;
  }
  ++open_connections_;
  CheckInvariant(open_connections_ <= info_.connections,
                 "an instance was given more connections than its limit");
  return true;
}

void Instance::EndDispatch(TargetOutcome outcome, bool fresh,
                           const AbandonedSlot& slot) {
  --in_flight_;
  const bool never_opened = outcome == TargetOutcome::kNotSent && fresh;
  if (KeepsConnection(outcome) ||
      (outcome == TargetOutcome::kNotSent && !never_opened)) {
    ++idle_connections_;
  } else {
    --open_connections_;
  }
  if (MayStillRun(outcome)) AddAbandonedSlot(slot);
}

void Instance::AddAbandonedSlot(const AbandonedSlot& slot) {
  if (in_flight_ + abandoned_slots_.size() >= info_.slots) return;
  abandoned_slots_.push_back(slot);
}

void Instance::MarkAllSlotsAbandoned(const AbandonedSlot& slot) {
  while (in_flight_ + abandoned_slots_.size() < info_.slots) {
    abandoned_slots_.push_back(slot);
  }
  inherited_connections_ =
      info_.connections - std::min(info_.connections, open_connections_ + 1);
  inherited_window_ = slot;
}

void Instance::ApplyStatus(const TargetStatus& status, TimePoint requested_at) {
  // The status does not say which requests still run, so those that can run
  // longest are kept.
  std::sort(abandoned_slots_.begin(), abandoned_slots_.end(),
            [](const AbandonedSlot& a, const AbandonedSlot& b) {
              return a.ends_by > b.ends_by;
            });
  std::uint32_t kept = 0;
  const auto is_over = [&](const AbandonedSlot& slot) {
    if (slot.arrives_by > requested_at) return false;
    return ++kept > status.running;
  };
  abandoned_slots_.erase(
      std::remove_if(abandoned_slots_.begin(), abandoned_slots_.end(), is_over),
      abandoned_slots_.end());
  if (inherited_window_.arrives_by > requested_at) return;
  inherited_connections_ = std::min(inherited_connections_, status.connections);
}

void Instance::ExpireAbandonedSlots(TimePoint now) {
  const auto is_over = [now](const AbandonedSlot& slot) {
    return slot.ends_by <= now;
  };
  abandoned_slots_.erase(
      std::remove_if(abandoned_slots_.begin(), abandoned_slots_.end(), is_over),
      abandoned_slots_.end());
  if (inherited_window_.ends_by <= now) inherited_connections_ = 0;
}

std::optional<TimePoint> Instance::NextExpiry() const {
  std::optional<TimePoint> next;
  if (inherited_connections_ > 0) next = inherited_window_.ends_by;
  for (const AbandonedSlot& slot : abandoned_slots_) {
    if (!next || slot.ends_by < *next) next = slot.ends_by;
  }
  return next;
}

void Instance::DropIdleConnections() {
  open_connections_ -= idle_connections_;
  idle_connections_ = 0;
}

void Instance::set_health(Health health) {
  health_ = health;
  probation_successes_ = 0;
  consecutive_good_probes_ = 0;
  if (health != Health::kProbation) return;
  consecutive_failures_ = 0;
  slow_ = false;
  service_time_.Reset();
}

void Instance::AddSuccess(Duration service) {
  consecutive_failures_ = 0;
  service_time_.Add(service);
  if (health_ != Health::kProbation) return;
  if (++probation_successes_ >= kProbationSuccesses) health_ = Health::kHealthy;
}

std::uint32_t Instance::RecordProbeResult(bool good) {
  consecutive_good_probes_ = good ? consecutive_good_probes_ + 1 : 0;
  return consecutive_good_probes_;
}

}  // namespace chivewing
