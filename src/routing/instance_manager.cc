#include "routing/instance_manager.h"

#include <algorithm>

namespace chivewing {
namespace {

// Cap on a service time sample of one instance, as a multiple of the mean of
// all instances.
constexpr int kMaxSampleInMeans = 6;

}  // namespace

InstanceManager::InstanceManager(const RouterSettings& settings)
    : settings_(settings) {}

void InstanceManager::Add(TimePoint now, const InstanceInfo& info,
                          std::optional<TimePoint> busy_until,
                          RouterEffects& out) {
  auto found = refs_by_id_.find(info.id);
  if (found == refs_by_id_.end()) {
    const InstanceRef ref{info.entry, InstanceKey{++last_key_}};
    found = refs_by_id_.emplace(info.id, ref).first;
    services_by_key_.emplace(ref.key, ref.service);
    pools_.try_emplace(ref.service, settings_.max_ejected_fraction);
  }
  const InstanceRef ref = found->second;
  Instance& instance = pools_.at(ref.service).Add(ref.key, info);
  instance.set_info(info);
  instance.set_removed(false);
  instance.set_drained_notified(false);
  if (busy_until)
    instance.MarkAllSlotsAbandoned({now + settings_.max_arrival_delay,
                                    *busy_until + settings_.max_arrival_delay});
  OnInstanceChanged(now, ref, out);
}

void InstanceManager::Remove(TimePoint now, const InstanceId& id,
                             RouterEffects& out) {
  const auto found = refs_by_id_.find(id);
  if (found == refs_by_id_.end()) return;
  const InstanceRef ref = found->second;
  MutableInstance(ref).set_removed(true);
  CloseIdleConnections(ref, out);
  OnInstanceChanged(now, ref, out);
}

void InstanceManager::SetState(TimePoint now, const InstanceId& id,
                               InstanceState state, RouterEffects& out) {
  const auto found = refs_by_id_.find(id);
  if (found == refs_by_id_.end()) return;
  const InstanceRef ref = found->second;
  MutableInstance(ref).set_state(state);
  MutableInstance(ref).set_drained_notified(false);
  OnInstanceChanged(now, ref, out);
}

void InstanceManager::ApplyStatus(TimePoint now, const InstanceId& id,
                                  const TargetStatus& status,
                                  TimePoint requested_at, RouterEffects& out) {
  const auto found = refs_by_id_.find(id);
  if (found == refs_by_id_.end()) return;
  const InstanceRef ref = found->second;
  Instance& instance = MutableInstance(ref);
  instance.ApplyStatus(status, requested_at);
  if (status.leaving) instance.set_state(InstanceState::kLeaving);
  OnInstanceChanged(now, ref, out);
}

const InstancePool* InstanceManager::FindPool(const EntryName& service) const {
  const auto found = pools_.find(service);
  return found == pools_.end() ? nullptr : &found->second;
}

const Instance& InstanceManager::Get(const InstanceRef& ref) const {
  return *pools_.at(ref.service).Find(ref.key);
}

Instance& InstanceManager::MutableInstance(const InstanceRef& ref) {
  return *pools_.at(ref.service).Find(ref.key);
}

EntryName InstanceManager::ServiceOf(const InstanceId& id) const {
  const auto found = refs_by_id_.find(id);
  return found == refs_by_id_.end() ? EntryName() : found->second.service;
}

std::optional<InstanceRef> InstanceManager::Choose(
    const EntryName& service, std::optional<InstanceKey> avoid) const {
  const InstancePool* const pool = FindPool(service);
  if (pool == nullptr) return std::nullopt;
  const std::optional<InstanceKey> key = pool->Choose(avoid);
  if (!key) return std::nullopt;
  return InstanceRef{service, *key};
}

bool InstanceManager::StartDispatch(const InstanceRef& ref) {
  const bool fresh = MutableInstance(ref).StartDispatch();
  pools_.at(ref.service).Refresh(ref.key);
  return fresh;
}

void InstanceManager::EndDispatch(TimePoint now, const InstanceRef& ref,
                                  const DispatchResult& result,
                                  RouterEffects& out) {
  MutableInstance(ref).EndDispatch(result.outcome, result.fresh_connection,
                                   MakeAbandonedSlot(result));
  MutableInstance(ref).ExpireAbandonedSlots(now);
  UpdateHealth(now, ref, result, out);
  OnInstanceChanged(now, ref, out);
}

AbandonedSlot InstanceManager::MakeAbandonedSlot(
    const DispatchResult& result) const {
  const TimePoint arrives_by = result.sent_at + settings_.max_arrival_delay;
  return {arrives_by, arrives_by + result.longest_run};
}

void InstanceManager::UpdateHealth(TimePoint now, const InstanceRef& ref,
                                   const DispatchResult& result,
                                   RouterEffects& out) {
  Instance& instance = MutableInstance(ref);
  switch (result.outcome) {
    case TargetOutcome::kDone:
      RecordSuccess(now, ref, now - result.sent_at);
      return;
    case TargetOutcome::kNotSent:
      return;
    case TargetOutcome::kRefusedNoSlot:
      instance.AddAbandonedSlot(MakeAbandonedSlot(result));
      return;
    case TargetOutcome::kRefusedLeaving:
      instance.set_state(InstanceState::kLeaving);
      return;
    case TargetOutcome::kTimedOut:
    case TargetOutcome::kConnectionLost:
      // A reused connection may have failed by itself, so a probe over a new
      // connection decides about the instance.
      if (!result.fresh_connection) {
        MarkSuspect(ref, out);
        return;
      }
      RecordFailure(now, ref);
      return;
    case TargetOutcome::kDoneWithFault:
    case TargetOutcome::kConnectFailed:
    case TargetOutcome::kBadAnswer:
      RecordFailure(now, ref);
      return;
  }
}

void InstanceManager::RecordSuccess(TimePoint now, const InstanceRef& ref,
                                    Duration service) {
  Instance& instance = MutableInstance(ref);
  ServiceTimeAverage& all = pools_.at(ref.service).service_time();
  all.Add(service);
  // Service times have long tails: the cap keeps a single sample from ejecting
  // an instance.
  const Duration max_sample = all.mean() * kMaxSampleInMeans;
  instance.AddSuccess(std::min(service, max_sample));
  const ServiceTimeAverage& own = instance.service_time();
  if (instance.health() != Health::kHealthy) return;
  if (own.samples() < settings_.min_slow_samples) return;
  const double others = pools_.at(ref.service).MeanServiceTimeOfOthers(own);
  const auto mean = static_cast<double>(own.mean().count());
  if (mean > settings_.slow_factor * others) TryEject(now, ref);
}

void InstanceManager::RecordFailure(TimePoint now, const InstanceRef& ref) {
  Instance& instance = MutableInstance(ref);
  instance.AddFailure();
  if (instance.health() == Health::kEjected) return;
  if (instance.health() != Health::kProbation &&
      instance.consecutive_failures() < settings_.max_consecutive_failures) {
    return;
  }
  TryEject(now, ref);
}

void InstanceManager::MarkSuspect(const InstanceRef& ref, RouterEffects& out) {
  Instance& instance = MutableInstance(ref);
  CloseIdleConnections(ref, out);
  if (instance.health() == Health::kEjected) return;
  instance.set_health(Health::kSuspect);
  if (!instance.probe()) instance.set_probe_due(std::nullopt);
}

void InstanceManager::CloseIdleConnections(const InstanceRef& ref,
                                           RouterEffects& out) {
  Instance& instance = MutableInstance(ref);
  instance.DropIdleConnections();
  out.emplace_back(CloseConnections{instance.info().id});
}

bool InstanceManager::TryEject(TimePoint now, const InstanceRef& ref) {
  Instance& instance = MutableInstance(ref);
  pools_.at(ref.service).Refresh(ref.key);
  if (!pools_.at(ref.service).CanEject()) return false;
  instance.set_health(Health::kEjected);
  instance.set_probe_due(now + settings_.probe_interval);
  ++ejections_;
  return true;
}

void InstanceManager::SendProbe(TimePoint now, const InstanceRef& ref,
                                RouterEffects& out) {
  Instance& instance = MutableInstance(ref);
  const ProbeId probe{++last_probe_};
  probes_.emplace(probe, Probe{ref, now});
  instance.set_probe(probe);
  instance.set_probe_due(now + settings_.probe_timeout +
                         settings_.outcome_grace);
  out.emplace_back(ProbeInstance{probe, instance.info().id,
                                 instance.info().address,
                                 settings_.probe_timeout});
}

EntryName InstanceManager::OnProbeCompleted(
    TimePoint now, ProbeId probe, const std::optional<TargetStatus>& status,
    RouterEffects& out) {
  const auto found = probes_.find(probe);
  if (found == probes_.end()) return EntryName();
  const Probe record = found->second;
  probes_.erase(found);
  Instance& instance = MutableInstance(record.instance);
  instance.set_probe(std::nullopt);
  instance.set_probe_due(now + settings_.probe_interval);
  if (status) {
    instance.ApplyStatus(*status, record.sent_at);
    if (status->leaving) instance.set_state(InstanceState::kLeaving);
  }
  UpdateHealthFromProbe(now, record.instance, status.has_value());
  OnInstanceChanged(now, record.instance, out);
  return record.instance.service;
}

void InstanceManager::UpdateHealthFromProbe(TimePoint now,
                                            const InstanceRef& ref, bool good) {
  Instance& instance = MutableInstance(ref);
  const std::uint32_t in_a_row = instance.RecordProbeResult(good);
  if (instance.health() == Health::kSuspect) {
    if (!good && TryEject(now, ref)) return;
    // An instance that failed its probe but may not be ejected stays in
    // use; its failure count makes it the last choice.
    instance.set_health(Health::kHealthy);
    if (!good) instance.AddFailure();
    return;
  }
  if (instance.health() != Health::kEjected) return;
  if (in_a_row < settings_.probes_to_readmit) return;
  instance.set_health(Health::kProbation);
  ++readmitted_;
}

std::vector<EntryName> InstanceManager::Tick(TimePoint now,
                                             RouterEffects& out) {
  std::vector<EntryName> changed;
  while (!wake_queue_.empty() && wake_queue_.begin()->first <= now) {
    const InstanceKey key = wake_queue_.begin()->second;
    const InstanceRef ref{services_by_key_.at(key), key};
    changed.push_back(ref.service);
    Instance& instance = MutableInstance(ref);
    instance.ExpireAbandonedSlots(now);
    const bool due = instance.probe_due() && *instance.probe_due() <= now;
    if (due && instance.probe()) {
      // The probe's result was lost: count the probe as failed.
      OnProbeCompleted(now, *instance.probe(), std::nullopt, out);
      continue;
    }
    if (due) {
      instance.set_probe_due(std::nullopt);
    }
    OnInstanceChanged(now, ref, out);
  }
  return changed;
}

std::optional<TimePoint> InstanceManager::NextWakeTime() const {
  if (wake_queue_.empty()) return std::nullopt;
  return wake_queue_.begin()->first;
}

void InstanceManager::OnInstanceChanged(TimePoint now, const InstanceRef& ref,
                                        RouterEffects& out) {
  Instance& instance = MutableInstance(ref);
  if (!instance.needs_probe()) {
    if (!instance.probe()) instance.set_probe_due(std::nullopt);
  } else if (!instance.probe() && !instance.probe_due()) {
    SendProbe(now, ref, out);
  }
  InstancePool& pool = pools_.at(ref.service);
  if (instance.removed() && instance.drained() && !instance.probe()) {
    refs_by_id_.erase(instance.info().id);
    SetWakeTime(ref.key, std::nullopt);
    services_by_key_.erase(ref.key);
    pool.Erase(ref.key);
    return;
  }
  pool.Refresh(ref.key);
  SetWakeTime(ref.key, WakeTimeOf(instance));
  const bool drained = instance.info().state == InstanceState::kLeaving &&
                       instance.drained() && !instance.removed();
  if (!drained || instance.drained_notified()) return;
  instance.set_drained_notified(true);
  out.emplace_back(NotifyInstanceDrained{instance.info().id});
}

std::optional<TimePoint> InstanceManager::WakeTimeOf(
    const Instance& instance) const {
  std::optional<TimePoint> next = instance.NextExpiry();
  const std::optional<TimePoint> due = instance.probe_due();
  if (due && (!next || *due < *next)) next = due;
  return next;
}

void InstanceManager::SetWakeTime(InstanceKey key,
                                  std::optional<TimePoint> at) {
  const auto found = wake_times_.find(key);
  if (found != wake_times_.end()) {
    if (at && found->second == *at) return;
    wake_queue_.erase({found->second, key});
    wake_times_.erase(found);
  }
  if (!at) return;
  wake_times_.emplace(key, *at);
  wake_queue_.emplace(*at, key);
}

std::vector<InstanceSummary> InstanceManager::Summaries() const {
  std::vector<InstanceSummary> summaries;
  for (const auto& item : pools_) {
    item.second.ForEach([&](const Instance& instance) {
      InstanceSummary summary;
      summary.id = instance.info().id;
      summary.entry = instance.info().entry;
      summary.state = instance.info().state;
      summary.health = instance.health();
      summary.share_epoch = instance.info().share_epoch;
      summary.slots = instance.info().slots;
      summary.in_flight = instance.in_flight();
      summary.abandoned_slots = instance.abandoned_slots();
      summary.open_connections = instance.open_connections();
      summary.mean_service = instance.service_time().mean();
      summaries.push_back(summary);
    });
  }
  return summaries;
}

}  // namespace chivewing
