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

// Renews the leases of running tasks while no placer does, so that they outlive
// both the placer and an outage of the platform. Renewing starts nothing, so
// any entry host of the zone may do it, with the epoch on record; a worker that
// has seen the epoch of a newer placer refuses it. Tasks of entries that lapse
// are left out: only a placer with a valid lease renews those.
class TaskLeaseRenewer {
 public:
  struct Settings {
    std::chrono::milliseconds task_lease{15000};
    std::chrono::milliseconds call_timeout{1000};
  };

  explicit TaskLeaseRenewer(Settings settings) : settings_(settings) {}

  // The calls to be made now.
  std::vector<WorkerRequest> Decide(TimePoint now, const PlacerView& view);

 private:
  Settings settings_;
  TimePoint next_;
  // Numbered apart from the calls of a WorkerSession.
  std::uint64_t next_call_ = std::uint64_t{1} << 63U;
};

}  // namespace chivewing
