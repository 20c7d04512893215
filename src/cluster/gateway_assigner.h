#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

// A host that can make calls to workers for the dispatching host.
struct GatewayOption {
  HostId host{};
  ZoneId zone{};
  double processor_share = 1.0;  // of one core
  // See HostRow.
  bool takes_poll_incarnations = false;
  bool takes_start_incarnations = false;
};

// Decides which host makes the calls to which worker: spread by processor
// share, preferably within the worker's zone. A worker keeps its gateway while
// that responds and is not much more loaded than another. Does no I/O.
class GatewayAssigner {
 public:
  // Replaces the hosts that may serve. Workers of a host that is no longer
  // listed are assigned again with their next call.
  void SetGateways(const std::vector<GatewayOption>& options);

  // The host for the next call to the worker; nullopt if the call is to be made
  // without a gateway.
  std::optional<HostId> GatewayOf(TimePoint now, const WorkerId& worker,
                                  const ZoneId& zone);

  // The gateway does not respond. It loses its workers and gets none for a time
  // that grows with each failure in a row.
  void OnGatewayFailure(TimePoint now, const HostId& host);
  // The gateway did not reach the worker, which avoids it for a time.
  void OnUnreachedWorker(TimePoint now, const HostId& host,
                         const WorkerId& worker);

  bool IsAvailable(TimePoint now, const HostId& host) const;
  // Number of workers that the host serves.
  std::size_t WorkersOf(const HostId& host) const;

 private:
  struct Gateway {
    GatewayOption option{};
    std::size_t workers = 0;
    int failures = 0;  // in a row
    TimePoint failed_at{};
    TimePoint unavailable_until{};
  };
  struct Assignment {
    HostId gateway{};  // empty: none
    TimePoint used_at{};
    TimePoint compare_at{};  // next comparison with the other gateways
    std::map<HostId, TimePoint> avoided{};  // until when
  };

  static double Cost(const Gateway& gateway, std::size_t workers,
                     const ZoneId& zone);
  const Gateway* Cheapest(TimePoint now, const Assignment& assignment,
                          const ZoneId& zone) const;
  void Assign(Assignment& assignment, const HostId& host);
  bool IsUsable(TimePoint now, const Assignment& assignment,
                const Gateway& gateway) const;
  void DropUnused(TimePoint now);

  std::map<HostId, Gateway> gateways_;
  std::map<WorkerId, Assignment> assignments_;
  TimePoint next_drop_{};
};

}  // namespace chivewing
