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

// A slot whose dispatch got no answer: the request may still run in it.
struct AbandonedSlot {
  // Latest time at which the request can reach the instance. Only a status
  // requested after it is sure to count the request.
  TimePoint arrives_by;
  // Latest time at which the request ends.
  TimePoint ends_by;
};

// Slots, connections and health of one instance as this entry host knows them
// from its dispatches, their outcomes and the instance's status. Does no I/O
// and reads no clock.
//
// A slot is free, in flight (a dispatch of this host has no outcome yet) or
// abandoned (a request without an answer may still run in it). An abandoned
// slot becomes free when the instance reports fewer running requests, or after
// the longest run time.
class Instance {
 public:
  explicit Instance(const InstanceInfo& info);

  const InstanceInfo& info() const { return info_; }
  void set_info(const InstanceInfo& info) { info_ = info; }
  void set_state(InstanceState state) { info_.state = state; }
  // True when the instance is no longer assigned to this host.
  bool removed() const { return removed_; }
  void set_removed(bool removed) { removed_ = removed; }

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t abandoned_slots() const;
  std::uint32_t open_connections() const { return open_connections_; }
  // True when no slot is in flight or abandoned.
  bool drained() const { return in_flight_ == 0 && abandoned_slots_.empty(); }

  // Slots that count as capacity in the present state and health.
  std::uint32_t usable_slots() const;
  // Usable slots that a dispatch can take now; also bounded by connections.
  std::uint32_t free_slots() const;

  // Takes a slot and a connection; returns true when a new connection must be
  // opened.
  bool StartDispatch();
  // Returns the slot and the connection. If the request may still run after
  // `outcome`, it is counted as `slot`. `fresh` is what StartDispatch returned.
  void EndDispatch(TargetOutcome outcome, bool fresh,
                   const AbandonedSlot& slot);
  // Counts one more slot as used by a request that this host does not know.
  void AddAbandonedSlot(const AbandonedSlot& slot);
  // Counts every slot and connection as used by requests of the entry host that
  // the instance was assigned to before.
  void MarkAllSlotsAbandoned(const AbandonedSlot& slot);
  // Frees abandoned slots and inherited connections beyond the counts in a
  // status that was requested at `requested_at`. Requests that may have arrived
  // later keep their slots.
  void ApplyStatus(const TargetStatus& status, TimePoint requested_at);
  // Frees abandoned slots whose requests have ended by `now`.
  void ExpireAbandonedSlots(TimePoint now);
  std::optional<TimePoint> NextExpiry() const;
  // Stops counting idle connections, which the caller closes.
  void DropIdleConnections();

  Health health() const { return health_; }
  void set_health(Health health);
  std::uint32_t consecutive_failures() const { return consecutive_failures_; }
  void AddFailure() { ++consecutive_failures_; }
  // Records a successful response and its service time. Enough of them in a row
  // end the probation.
  void AddSuccess(Duration service);
  const ServiceTimeAverage& service_time() const { return service_time_; }
  bool slow() const { return slow_; }
  void set_slow(bool slow) { slow_ = slow; }

  // The probe in progress.
  std::optional<ProbeId> probe() const { return probe_; }
  void set_probe(std::optional<ProbeId> probe) { probe_ = probe; }
  // When the next probe is sent, or when the one in progress is given up.
  std::optional<TimePoint> probe_due() const { return probe_due_; }
  void set_probe_due(std::optional<TimePoint> due) { probe_due_ = due; }
  // True when the instance is suspect or ejected, or has abandoned slots or
  // inherited connections: only its status can clear these early.
  bool needs_probe() const;
  // True when NotifyInstanceDrained was issued for the leaving instance.
  bool drained_notified() const { return drained_notified_; }
  void set_drained_notified(bool notified) { drained_notified_ = notified; }
  // Returns the number of successful probes in a row.
  std::uint32_t RecordProbeResult(bool good);

 private:
  // True when state and health allow new dispatches.
  bool dispatchable() const;
  // Connection limit for dispatches, without those reserved for probes.
  std::uint32_t MaxDispatchConnections() const;

  InstanceInfo info_;
  bool removed_ = false;
  std::uint32_t in_flight_ = 0;
  std::vector<AbandonedSlot> abandoned_slots_;
  std::uint32_t open_connections_ = 0;  // opened by this host
  std::uint32_t idle_connections_ = 0;  // open, without a dispatch
  // Connections that the former assignee may still hold open, and the times by
  // which all of them have arrived and ended.
  std::uint32_t inherited_connections_ = 0;
  AbandonedSlot inherited_window_{};

  Health health_ = Health::kHealthy;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t probation_successes_ = 0;
  std::uint32_t consecutive_good_probes_ = 0;
  bool slow_ = false;
  ServiceTimeAverage service_time_;
  std::optional<ProbeId> probe_;
  std::optional<TimePoint> probe_due_;
  bool drained_notified_ = false;
};

}  // namespace chivewing
