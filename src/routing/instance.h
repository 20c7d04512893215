#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "routing/instance_info.h"
#include "routing/router_settings.h"
#include "routing/router_state.h"
#include "routing/routing_id.h"
#include "routing/service_time_average.h"
#include "routing/target_outcome.h"

namespace chivewing {

// Work without an answer that may still use a slot.
struct AbandonedSlot {
  TimePoint arrives_by;  // a status asked for later counts it
  TimePoint ends_by;     // it has ended by then
};

// Slots, connections and health of one instance, as far as this host knows.
//
// A slot is free, in flight (a dispatch of ours has no outcome yet) or left
// behind: work without an answer may still run in it. Left-behind slots come
// back when the instance reports less running work, or after the longest run
// time.
class Instance {
 public:
  explicit Instance(const InstanceInfo& info);

  const InstanceInfo& info() const { return info_; }
  void set_info(const InstanceInfo& info) { info_ = info; }
  void set_state(InstanceState state) { info_.state = state; }
  // The share is no longer held here.
  bool removed() const { return removed_; }
  void set_removed(bool removed) { removed_ = removed; }

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t abandoned_slots() const;
  std::uint32_t open_connections() const { return open_connections_; }
  // No work of ours runs or may still run there.
  bool drained() const { return in_flight_ == 0 && abandoned_slots_.empty(); }

  // Slots that count as capacity, and those of them a dispatch can take now.
  std::uint32_t usable_slots() const;
  std::uint32_t free_slots() const;

  // Takes a slot and a connection; returns whether the connection is a new one.
  bool StartDispatch();
  // Gives both back. Work that may still run stays counted until `run_end`.
  void EndDispatch(TargetOutcome outcome, bool fresh,
                   const AbandonedSlot& slot);
  // Counts one more slot as used by unknown work.
  void AddAbandonedSlot(const AbandonedSlot& slot);
  // Counts every slot and connection as used by a former holder's work.
  void MarkAllSlotsAbandoned(const AbandonedSlot& slot);
  // Lowers what had arrived by `requested_at` to what the instance reports.
  void ApplyStatus(const TargetStatus& status, TimePoint requested_at);
  // Forgets left-behind work whose time is over.
  void ExpireAbandonedSlots(TimePoint now);
  std::optional<TimePoint> NextExpiry() const;
  // Idle connections are being closed.
  void DropIdleConnections();

  Health health() const { return health_; }
  void set_health(Health health);
  std::uint32_t consecutive_failures() const { return consecutive_failures_; }
  void AddFailure() { ++consecutive_failures_; }
  // Counts a good answer; ends a trial after enough of them.
  void AddSuccess(Duration service);
  const ServiceTimeAverage& service_time() const { return service_time_; }
  bool slow() const { return slow_; }
  void set_slow(bool slow) { slow_ = slow; }

  // The probe under way, and when the next one is to be sent.
  std::optional<ProbeId> probe() const { return probe_; }
  void set_probe(std::optional<ProbeId> probe) { probe_ = probe; }
  std::optional<TimePoint> probe_due() const { return probe_due_; }
  void set_probe_due(std::optional<TimePoint> due) { probe_due_ = due; }
  // Whether only a probe can show what is free or sound there.
  bool needs_probe() const;
  // Whether the caller was told that a leaving instance is idle.
  bool drained_notified() const { return drained_notified_; }
  void set_drained_notified(bool told) { drained_notified_ = told; }
  // Counts a probe's result; returns the number of good ones in a row.
  std::uint32_t RecordProbeResult(bool good);

 private:
  bool dispatchable() const;
  std::uint32_t MaxDispatchConnections() const;

  InstanceInfo info_;
  bool removed_ = false;
  std::uint32_t in_flight_ = 0;
  std::vector<AbandonedSlot> abandoned_slots_;
  std::uint32_t open_connections_ = 0;  // connections of ours
  std::uint32_t idle_connections_ = 0;  // those without a dispatch
  std::uint32_t inherited_connections_ =
      0;  // connections a former holder may have slot
  AbandonedSlot inherited_window_{};

  Health health_ = Health::kHealthy;
  std::uint32_t consecutive_failures_ = 0;     // in a row
  std::uint32_t probation_successes_ = 0;      // since health changed
  std::uint32_t consecutive_good_probes_ = 0;  // in a row
  bool slow_ = false;
  ServiceTimeAverage service_time_;
  std::optional<ProbeId> probe_;
  std::optional<TimePoint> probe_due_;
  bool drained_notified_ = false;
};

}  // namespace chivewing
