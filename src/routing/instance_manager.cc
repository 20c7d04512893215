#include "routing/instance_manager.h"

#include <algorithm>

namespace chivewing {
namespace {

// Longest service time counted for one instance, in means of all instances.
constexpr int kSampleLimit = 6;

}  // namespace

InstanceManager::InstanceManager(const RouterSettings& settings)
    : settings_(settings) {}

void InstanceManager::Add(TimePoint now, const InstanceInfo& view,
                          std::optional<TimePoint> busy_until,
                          RouterEffects& out) {
  auto found = ids_.find(view.id);
  if (found == ids_.end()) {
    const InstanceRef ref{view.entry, InstanceKey{++last_key_}};
    found = ids_.emplace(view.id, ref).first;
    services_.emplace(ref.key, ref.service);
    pools_.try_emplace(ref.service, settings_.max_ejected_fraction);
  }
  const InstanceRef ref = found->second;
  Instance& instance = pools_.at(ref.service).Add(ref.key, view);
  instance.set_view(view);
  instance.set_removed(false);
  instance.set_idle_told(false);
  if (busy_until)
    instance.MarkAllSlotsAbandoned({now + settings_.max_arrival_delay,
                                    *busy_until + settings_.max_arrival_delay});
  Settle(now, ref, out);
}

void InstanceManager::Remove(TimePoint now, const InstanceId& id,
                             RouterEffects& out) {
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  const InstanceRef ref = found->second;
  Mutable(ref).set_removed(true);
  CloseIdle(ref, out);
  Settle(now, ref, out);
}

void InstanceManager::SetState(TimePoint now, const InstanceId& id,
                               InstanceState state, RouterEffects& out) {
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  const InstanceRef ref = found->second;
  Mutable(ref).set_state(state);
  Mutable(ref).set_idle_told(false);
  Settle(now, ref, out);
}

void InstanceManager::ApplyStatus(TimePoint now, const InstanceId& id,
                                  const TargetStatus& status,
                                  TimePoint asked_at, RouterEffects& out) {
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  const InstanceRef ref = found->second;
  Instance& instance = Mutable(ref);
  instance.ApplyStatus(status, asked_at);
  if (status.leaving) instance.set_state(InstanceState::kLeaving);
  Settle(now, ref, out);
}

const InstancePool* InstanceManager::Find(const EntryName& service) const {
  const auto found = pools_.find(service);
  return found == pools_.end() ? nullptr : &found->second;
}

const Instance& InstanceManager::Get(const InstanceRef& ref) const {
  return *pools_.at(ref.service).Find(ref.key);
}

Instance& InstanceManager::Mutable(const InstanceRef& ref) {
  return *pools_.at(ref.service).Find(ref.key);
}

EntryName InstanceManager::ServiceOf(const InstanceId& id) const {
  const auto found = ids_.find(id);
  return found == ids_.end() ? EntryName() : found->second.service;
}

std::optional<InstanceRef> InstanceManager::Choose(
    const EntryName& service, std::optional<InstanceKey> avoid) const {
  const InstancePool* const pool = Find(service);
  if (pool == nullptr) return std::nullopt;
  const std::optional<InstanceKey> key = pool->Choose(avoid);
  if (!key) return std::nullopt;
  return InstanceRef{service, *key};
}

bool InstanceManager::Start(const InstanceRef& ref) {
  const bool fresh = Mutable(ref).Start();
  pools_.at(ref.service).Refresh(ref.key);
  return fresh;
}

void InstanceManager::End(TimePoint now, const InstanceRef& ref,
                          const DispatchResult& end, RouterEffects& out) {
  Mutable(ref).End(end.outcome, end.fresh_connection, LeftBy(end));
  Mutable(ref).Expire(now);
  Judge(now, ref, end, out);
  Settle(now, ref, out);
}

AbandonedSlot InstanceManager::LeftBy(const DispatchResult& end) const {
  const TimePoint arrived_by = end.sent_at + settings_.max_arrival_delay;
  return {arrived_by, arrived_by + end.longest_run};
}

void InstanceManager::Judge(TimePoint now, const InstanceRef& ref,
                            const DispatchResult& end, RouterEffects& out) {
  Instance& instance = Mutable(ref);
  switch (end.outcome) {
    case TargetOutcome::kDone:
      JudgeDone(now, ref, now - end.sent_at);
      return;
    case TargetOutcome::kNotSent:
      return;
    case TargetOutcome::kRefusedNoSlot:
      instance.AddAbandonedSlot(LeftBy(end));
      return;
    case TargetOutcome::kRefusedLeaving:
      instance.set_state(InstanceState::kLeaving);
      return;
    case TargetOutcome::kTimedOut:
    case TargetOutcome::kConnectionLost:
      // An old connection says nothing of the instance: a new one must.
      if (!end.fresh_connection) {
        Suspect(ref, out);
        return;
      }
      JudgeFailure(now, ref);
      return;
    case TargetOutcome::kDoneWithFault:
    case TargetOutcome::kConnectFailed:
    case TargetOutcome::kBadAnswer:
      JudgeFailure(now, ref);
      return;
  }
}

void InstanceManager::JudgeDone(TimePoint now, const InstanceRef& ref,
                                Duration service) {
  Instance& instance = Mutable(ref);
  ServiceTimeAverage& all = pools_.at(ref.service).service_time();
  all.Add(service);
  // Service times have long tails: one sample must not condemn an instance.
  const Duration most = all.mean() * kSampleLimit;
  instance.AddSuccess(std::min(service, most));
  const ServiceTimeAverage& own = instance.service_time();
  if (instance.health() != Health::kHealthy) return;
  if (own.samples() < settings_.slow_samples) return;
  const double others = pools_.at(ref.service).MeanServiceTimeOfOthers(own);
  const auto mean = static_cast<double>(own.mean().count());
  if (mean > settings_.slow_factor * others) PutAside(now, ref);
}

void InstanceManager::JudgeFailure(TimePoint now, const InstanceRef& ref) {
  Instance& instance = Mutable(ref);
  instance.AddFailure();
  if (instance.health() == Health::kEjected) return;
  if (instance.health() != Health::kProbation &&
      instance.failures() < settings_.failure_limit) {
    return;
  }
  PutAside(now, ref);
}

void InstanceManager::Suspect(const InstanceRef& ref, RouterEffects& out) {
  Instance& instance = Mutable(ref);
  CloseIdle(ref, out);
  if (instance.health() == Health::kEjected) return;
  instance.set_health(Health::kSuspect);
  if (!instance.probe()) instance.set_probe_due(std::nullopt);
}

void InstanceManager::CloseIdle(const InstanceRef& ref, RouterEffects& out) {
  Instance& instance = Mutable(ref);
  instance.DropIdleConnections();
  out.emplace_back(CloseConnections{instance.view().id});
}

bool InstanceManager::PutAside(TimePoint now, const InstanceRef& ref) {
  Instance& instance = Mutable(ref);
  pools_.at(ref.service).Refresh(ref.key);
  if (!pools_.at(ref.service).CanEject()) return false;
  instance.set_health(Health::kEjected);
  instance.set_probe_due(now + settings_.probe_interval);
  ++put_aside_;
  return true;
}

void InstanceManager::SendProbe(TimePoint now, const InstanceRef& ref,
                                RouterEffects& out) {
  Instance& instance = Mutable(ref);
  const ProbeId probe{++last_probe_};
  probes_.emplace(probe, Probe{ref, now});
  instance.set_probe(probe);
  instance.set_probe_due(now + settings_.probe_timeout +
                         settings_.outcome_grace);
  out.emplace_back(ProbeInstance{probe, instance.view().id,
                                 instance.view().address,
                                 settings_.probe_timeout});
}

EntryName InstanceManager::OnProbeCompleted(
    TimePoint now, ProbeId probe, const std::optional<TargetStatus>& status,
    RouterEffects& out) {
  const auto found = probes_.find(probe);
  if (found == probes_.end()) return EntryName();
  const Probe record = found->second;
  probes_.erase(found);
  Instance& instance = Mutable(record.instance);
  instance.set_probe(std::nullopt);
  instance.set_probe_due(now + settings_.probe_interval);
  if (status) {
    instance.ApplyStatus(*status, record.asked_at);
    if (status->leaving) instance.set_state(InstanceState::kLeaving);
  }
  JudgeProbe(now, record.instance, status.has_value());
  Settle(now, record.instance, out);
  return record.instance.service;
}

void InstanceManager::JudgeProbe(TimePoint now, const InstanceRef& ref,
                                 bool good) {
  Instance& instance = Mutable(ref);
  const std::uint32_t in_a_row = instance.RecordProbeResult(good);
  if (instance.health() == Health::kSuspect) {
    if (!good && PutAside(now, ref)) return;
    // A failed one that may not be put aside stays in use as the last choice.
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
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    const InstanceKey key = wakes_.begin()->second;
    const InstanceRef ref{services_.at(key), key};
    changed.push_back(ref.service);
    Instance& instance = Mutable(ref);
    instance.Expire(now);
    const bool due = instance.probe_due() && *instance.probe_due() <= now;
    if (due && instance.probe()) {
      // Its outcome was lost on the way.
      OnProbeCompleted(now, *instance.probe(), std::nullopt, out);
      continue;
    }
    if (due) {
      instance.set_probe_due(std::nullopt);
    }
    Settle(now, ref, out);
  }
  return changed;
}

std::optional<TimePoint> InstanceManager::NextWakeTime() const {
  if (wakes_.empty()) return std::nullopt;
  return wakes_.begin()->first;
}

void InstanceManager::Settle(TimePoint now, const InstanceRef& ref,
                             RouterEffects& out) {
  Instance& instance = Mutable(ref);
  if (!instance.needs_probe()) {
    if (!instance.probe()) instance.set_probe_due(std::nullopt);
  } else if (!instance.probe() && !instance.probe_due()) {
    SendProbe(now, ref, out);
  }
  InstancePool& pool = pools_.at(ref.service);
  if (instance.removed() && instance.drained() && !instance.probe()) {
    ids_.erase(instance.view().id);
    SetWake(ref.key, std::nullopt);
    services_.erase(ref.key);
    pool.Erase(ref.key);
    return;
  }
  pool.Refresh(ref.key);
  SetWake(ref.key, NextWake(instance));
  const bool idle = instance.view().state == InstanceState::kLeaving &&
                    instance.drained() && !instance.removed();
  if (!idle || instance.idle_told()) return;
  instance.set_idle_told(true);
  out.emplace_back(NotifyInstanceDrained{instance.view().id});
}

std::optional<TimePoint> InstanceManager::NextWake(
    const Instance& instance) const {
  std::optional<TimePoint> next = instance.NextExpiry();
  const std::optional<TimePoint> due = instance.probe_due();
  if (due && (!next || *due < *next)) next = due;
  return next;
}

void InstanceManager::SetWake(InstanceKey key, std::optional<TimePoint> at) {
  const auto found = wake_times_.find(key);
  if (found != wake_times_.end()) {
    if (at && found->second == *at) return;
    wakes_.erase({found->second, key});
    wake_times_.erase(found);
  }
  if (!at) return;
  wake_times_.emplace(key, *at);
  wakes_.emplace(*at, key);
}

std::vector<InstanceSummary> InstanceManager::Summaries() const {
  std::vector<InstanceSummary> summaries;
  for (const auto& item : pools_) {
    item.second.ForEach([&](const Instance& instance) {
      InstanceSummary summary;
      summary.id = instance.view().id;
      summary.entry = instance.view().entry;
      summary.state = instance.view().state;
      summary.health = instance.health();
      summary.share_epoch = instance.view().share_epoch;
      summary.slots = instance.view().slots;
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
