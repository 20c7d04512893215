#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "routing/instance_info.h"
#include "routing/instance_pool.h"
#include "routing/router_effect.h"
#include "routing/router_settings.h"
#include "routing/router_state.h"
#include "routing/target_outcome.h"

namespace chivewing {

// An instance and the service that it belongs to.
struct InstanceRef {
  EntryName service;
  InstanceKey key{};
};

// How a dispatch ended, as far as the instance is concerned.
struct DispatchResult {
  TargetOutcome outcome = TargetOutcome::kDone;
  bool fresh_connection = false;
  TimePoint sent_at;
  // Longest time that the request can run at the instance, also after its
  // answer was given up.
  Duration longest_run{};
};

// All instances assigned to this entry host: acquires and releases their slots,
// tracks their health from dispatch outcomes and service times, and probes
// those that need it. Does no I/O and reads no clock: probes, connection
// closing and drain notifications are appended to the effects.
class InstanceManager {
 public:
  explicit InstanceManager(const RouterSettings& settings);

  // Adds an instance or updates its info. With `busy_until`, requests of the
  // former assignee may use every slot until then.
  void Add(TimePoint now, const InstanceInfo& info,
           std::optional<TimePoint> busy_until, RouterEffects& out);
  void Remove(TimePoint now, const InstanceId& id, RouterEffects& out);
  void SetState(TimePoint now, const InstanceId& id, InstanceState state,
                RouterEffects& out);
  void ApplyStatus(TimePoint now, const InstanceId& id,
                   const TargetStatus& status, TimePoint requested_at,
                   RouterEffects& out);

  // Null for a service without instances.
  const InstancePool* FindPool(const EntryName& service) const;
  const Instance& Get(const InstanceRef& ref) const;
  // Service of an instance; empty when it is not known.
  EntryName ServiceOf(const InstanceId& id) const;

  std::optional<InstanceRef> Choose(const EntryName& service,
                                    std::optional<InstanceKey> avoid) const;
  // Takes a slot; returns true when a new connection must be opened.
  bool StartDispatch(const InstanceRef& ref);
  // Returns the slot and updates the instance's health.
  void EndDispatch(TimePoint now, const InstanceRef& ref,
                   const DispatchResult& result, RouterEffects& out);

  // Returns the service that may have gained slots.
  EntryName OnProbeCompleted(TimePoint now, ProbeId probe,
                             const std::optional<TargetStatus>& status,
                             RouterEffects& out);

  // Expires abandoned slots and sends or gives up probes that are due at `now`;
  // returns the services that may have gained slots.
  std::vector<EntryName> Tick(TimePoint now, RouterEffects& out);
  std::optional<TimePoint> NextWakeTime() const;

  std::uint64_t ejections() const { return ejections_; }
  std::uint64_t readmitted() const { return readmitted_; }
  std::vector<InstanceSummary> Summaries() const;

 private:
  struct Probe {
    InstanceRef instance;
    TimePoint sent_at;
  };

  AbandonedSlot MakeAbandonedSlot(const DispatchResult& result) const;
  Instance& MutableInstance(const InstanceRef& ref);
  void UpdateHealth(TimePoint now, const InstanceRef& ref,
                    const DispatchResult& result, RouterEffects& out);
  void RecordSuccess(TimePoint now, const InstanceRef& ref, Duration service);
  void RecordFailure(TimePoint now, const InstanceRef& ref);
  void MarkSuspect(const InstanceRef& ref, RouterEffects& out);
  void CloseIdleConnections(const InstanceRef& ref, RouterEffects& out);
  bool TryEject(TimePoint now, const InstanceRef& ref);
  void UpdateHealthFromProbe(TimePoint now, const InstanceRef& ref, bool good);
  void SendProbe(TimePoint now, const InstanceRef& ref, RouterEffects& out);
  // Must be called after each change of an instance: sends a probe if one is
  // needed, reports that the instance is drained, erases it when it is removed
  // and drained, and updates its pool and wake-up time.
  void OnInstanceChanged(TimePoint now, const InstanceRef& ref,
                         RouterEffects& out);
  void SetWakeTime(InstanceKey key, std::optional<TimePoint> at);
  std::optional<TimePoint> WakeTimeOf(const Instance& instance) const;

  RouterSettings settings_;
  std::unordered_map<EntryName, InstancePool> pools_;
  std::unordered_map<InstanceId, InstanceRef> refs_by_id_;
  std::unordered_map<InstanceKey, EntryName> services_by_key_;
  std::unordered_map<ProbeId, Probe> probes_;
  std::unordered_map<InstanceKey, TimePoint> wake_times_;
  std::set<std::pair<TimePoint, InstanceKey>> wake_queue_;
  std::uint64_t last_key_ = 0;
  std::uint64_t last_probe_ = 0;
  std::uint64_t ejections_ = 0;
  std::uint64_t readmitted_ = 0;
};

}  // namespace chivewing
