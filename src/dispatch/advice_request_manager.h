#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// A request to the advice service that is waiting for its response.
struct PendingAdviceRequest {
  HostId advice_host{};
  StepKey step{};
  std::string queue{};
  std::set<WorkerId> workers{};
  TimePoint sent{};
  TimePoint timeout_at{};
  bool slow = false;  // as by AdviceRequestManager::IsSlow
};

// Chooses the entry host that sends each advice request and keeps the requests
// that wait for a response. The service handles the requests of one host one
// after the other, so requests are spread over the hosts and a quick one never
// queues behind a slow one. While both kinds wait, each has hosts of its own: a
// kind that never ceases does not keep the other one out. Does no I/O.
class AdviceRequestManager {
 public:
  // Request ids start above `first`. Each dispatcher has its own range, so a
  // late response to its predecessor matches no request.
  void set_request_id_base(std::uint64_t first) { last_request_id_ = first; }
  // The entry hosts that can send advice requests. A host that is absent from
  // the set loses its backoff, so it is used at once when it returns.
  void set_advice_hosts(std::set<HostId> hosts);

  // True while steps wait for a host that can send their slow request.
  void set_slow_waiting(bool waiting) { slow_waiting_ = waiting; }

  // The host to send a request that takes `duration`; nullopt while all hosts
  // are busy or in backoff.
  std::optional<HostId> FindAdviceHost(TimePoint now,
                                       std::chrono::microseconds duration) {
    return FindHost(now, IsSlow(duration));
  }
  // True if some host can send a quick or a slow request now.
  bool HasFreeHost(TimePoint now, bool slow) {
    return FindHost(now, slow).has_value();
  }

  // Stores a request as sent and returns its id.
  std::uint64_t AddRequest(PendingAdviceRequest request);
  // Removes and returns a pending request; nullopt if there is none of this id.
  std::optional<PendingAdviceRequest> TakeRequest(std::uint64_t request);
  // The worker's incarnation has ended: the responses that are awaited hold no
  // verdict about it.
  void Forget(const WorkerId& worker);
  // A request sent by this host failed: the host gets no requests for a while.
  void OnFailure(TimePoint now, const HostId& advice_host);
  // Ids of the requests that have timed out at `now`.
  std::vector<std::uint64_t> TimedOutRequests(TimePoint now) const;
  std::optional<TimePoint> next_timeout() const;

  // Moving average of the fraction of workers that the responses for a queue
  // have approved.
  double ApprovalRate(const std::string& queue) const;
  void RecordApprovals(const std::string& queue, std::size_t asked,
                       std::size_t approved);

  static bool IsSlow(std::chrono::microseconds duration);

 private:
  struct PendingCounts {
    std::size_t quick = 0;
    std::size_t slow = 0;
  };
  std::optional<HostId> FindHost(TimePoint now, bool slow);
  // The number of hosts that are not in backoff.
  std::size_t UsableHosts() const {
    return advice_hosts_.size() - backoff_until_.size();
  }
  // The number of hosts that are kept for one kind of request.
  std::size_t HostsOfOneKind() const;
  // The number of hosts without a slow request that get no more quick ones, so
  // that a slow one that waits can be sent.
  std::size_t HostsKeptForSlow() const;
  PendingCounts CountPending(const HostId& advice_host) const;
  void EndBackoffs(TimePoint now);
  // A host's pending requests or its backoff change between these two.
  void Unindex(const HostId& advice_host);
  void Index(const HostId& advice_host);

  std::set<HostId> advice_hosts_;
  std::map<HostId, TimePoint> backoff_until_;
  std::map<std::uint64_t, PendingAdviceRequest> pending_;
  std::set<std::pair<TimePoint, std::uint64_t>> timeouts_;  // of pending_
  std::map<HostId, PendingCounts> pending_by_host_;
  // Hosts without a slow request and without backoff, by pending quick ones.
  std::set<std::pair<std::size_t, HostId>> without_slow_;
  std::size_t slow_pending_ = 0;
  bool slow_waiting_ = false;
  bool last_was_slow_ = false;  // the request that was sent last
  std::map<std::string, double> approval_rates_;
  std::uint64_t last_request_id_ = 0;
};

}  // namespace chivewing
