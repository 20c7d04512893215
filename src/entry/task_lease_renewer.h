#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "entry/placer_view.h"
#include "workers/worker_request.h"

namespace chivewing {

// Renews the leases of running tasks while the zone has no placer, so that
// tasks survive both the loss of the placer and an outage of the platform.
// Renewing starts nothing, so any entry host of the zone may do it, with the
// epoch of the task row; a worker that has seen the epoch of a newer placer
// refuses it. Tasks whose leases may expire are left out: only a placer with a
// valid lease renews those. Does no I/O; runs on the placer's thread.
class TaskLeaseRenewer {
 public:
  struct Settings {
    std::chrono::milliseconds task_lease{15000};
    std::chrono::milliseconds call_timeout{1000};
  };

  explicit TaskLeaseRenewer(Settings settings) : settings_(settings) {}

  // Returns the renewal requests to send now, one per worker; empty until the
  // next renewal is due.
  std::vector<WorkerRequest> TakeDueRenewals(TimePoint now,
                                             const PlacerView& view);

 private:
  Settings settings_;
  TimePoint next_renewal_at_;
  // Upper half of the range, so that ids differ from those of a WorkerSession.
  std::uint64_t next_request_id_ = std::uint64_t{1} << 63U;
};

}  // namespace chivewing
