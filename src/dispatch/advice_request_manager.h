#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// A question to the advice service that has not been answered.
struct PendingAdviceRequest {
  HostId advice_host{};
  StepKey step{};
  std::string queue{};
  std::set<WorkerId> workers{};
  TimePoint sent{};
  TimePoint timeout_at{};
  bool slow = false;
};

// Decides which entry host sends which question. The service answers the
// questions of one host in turn, so questions are spread, and a quick one never
// waits behind a slow one.
class AdviceRequestManager {
 public:
  // Ids of questions start above this: each dispatcher has its own range, so
  // that a late answer meant for its forerunner matches none.
  void set_request_id_base(std::uint64_t first) { last_request_id_ = first; }
  // The entry hosts that can be asked to send a question. One that had left is
  // asked again at once when it is back.
  void set_advice_hosts(std::set<HostId> hosts);

  // The host for a question that takes `duration`, or none while all are busy.
  std::optional<HostId> FindAdviceHost(
      TimePoint now, std::chrono::microseconds duration) const;

  // Notes a question as sent and returns its id.
  std::uint64_t AddRequest(PendingAdviceRequest request);
  // Ends a question; none when it is not open.
  std::optional<PendingAdviceRequest> TakeRequest(std::uint64_t request);
  // A question of this host got no answer; it gets none for a while.
  void OnFailure(TimePoint now, const HostId& advice_host);
  // Questions to be given up at `now`.
  std::vector<std::uint64_t> TimedOutRequests(TimePoint now) const;
  std::optional<TimePoint> next_timeout() const;

  // Share of good workers that the answers about a queue have shown.
  double ApprovalRate(const std::string& queue) const;
  void RecordApprovals(const std::string& queue, std::size_t asked,
                       std::size_t approved);

  static bool IsSlow(std::chrono::microseconds duration);

 private:
  std::size_t CountPending(const HostId& advice_host, bool slow) const;

  std::set<HostId> advice_hosts_;
  std::map<HostId, TimePoint> backoff_until_;
  std::map<std::uint64_t, PendingAdviceRequest> pending_;
  std::map<std::string, double> approval_rates_;
  std::uint64_t last_request_id_ = 0;
};

}  // namespace chivewing
