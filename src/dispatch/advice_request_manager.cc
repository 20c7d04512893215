#include "dispatch/advice_request_manager.h"

#include <algorithm>
#include <utility>

namespace chivewing {
namespace {

// Requests that are expected to take longer count as slow.
constexpr std::chrono::milliseconds kSlowRequestThreshold{100};
// Quick requests that one host may have pending. The second one waits for the
// first, as the service handles the requests of a host in turn.
constexpr std::size_t kMaxQuickRequestsPerHost = 2;
// One in this many hosts, and at least one of several, gets no slow requests.
constexpr std::size_t kHostsPerReservedHost = 4;
constexpr std::chrono::seconds kFailureBackoff{1};
// Weight of the newest response in the moving average of the approval rate.
constexpr double kApprovalRateWeight = 0.1;
constexpr double kInitialApprovalRate = 0.5;
constexpr double kMinApprovalRate = 0.05;

}  // namespace

bool AdviceRequestManager::IsSlow(std::chrono::microseconds duration) {
  return duration > kSlowRequestThreshold;
}

void AdviceRequestManager::set_advice_hosts(std::set<HostId> hosts) {
  advice_hosts_ = std::move(hosts);
  std::erase_if(backoff_until_, [this](const auto& entry) {
    return !advice_hosts_.contains(entry.first);
  });
}

AdviceRequestManager::PendingCounts AdviceRequestManager::CountPending(
    const HostId& advice_host) const {
  const auto found = pending_by_host_.find(advice_host);
  return found == pending_by_host_.end() ? PendingCounts{} : found->second;
}

std::optional<HostId> AdviceRequestManager::FindHost(TimePoint now,
                                                     bool slow) const {
  std::size_t without_slow = 0;
  std::optional<HostId> best;
  std::size_t best_pending = kMaxQuickRequestsPerHost;
  for (const HostId& advice_host : advice_hosts_) {
    const PendingCounts counts = CountPending(advice_host);
    if (counts.slow > 0) continue;
    const auto backoff = backoff_until_.find(advice_host);
    if (backoff != backoff_until_.end() && now < backoff->second) continue;
    ++without_slow;
    if (counts.quick >= best_pending) continue;
    best = advice_host;
    best_pending = counts.quick;
  }
  if (!slow) return best;
  const std::size_t reserved =
      advice_hosts_.size() < 2
          ? 0
          : std::max<std::size_t>(1,
                                  advice_hosts_.size() / kHostsPerReservedHost);
  return without_slow > reserved ? best : std::nullopt;
}

std::uint64_t AdviceRequestManager::AddRequest(PendingAdviceRequest request) {
  PendingCounts& counts = pending_by_host_[request.advice_host];
  ++(request.slow ? counts.slow : counts.quick);
  pending_.emplace(++last_request_id_, std::move(request));
  return last_request_id_;
}

std::optional<PendingAdviceRequest> AdviceRequestManager::TakeRequest(
    std::uint64_t request) {
  auto node = pending_.extract(request);
  if (node.empty()) return std::nullopt;
  PendingAdviceRequest& taken = node.mapped();
  const auto counts = pending_by_host_.find(taken.advice_host);
  --(taken.slow ? counts->second.slow : counts->second.quick);
  if (counts->second.slow + counts->second.quick == 0) {
    pending_by_host_.erase(counts);
  }
  return std::move(taken);
}

void AdviceRequestManager::OnFailure(TimePoint now, const HostId& advice_host) {
  backoff_until_[advice_host] = now + kFailureBackoff;
}

std::vector<std::uint64_t> AdviceRequestManager::TimedOutRequests(
    TimePoint now) const {
  std::vector<std::uint64_t> out;
  for (const auto& [id, request] : pending_) {
    if (now >= request.timeout_at) out.push_back(id);
  }
  return out;
}

std::optional<TimePoint> AdviceRequestManager::next_timeout() const {
  std::optional<TimePoint> next;
  for (const auto& [id, request] : pending_) {
    if (!next || request.timeout_at < *next) next = request.timeout_at;
  }
  return next;
}

double AdviceRequestManager::ApprovalRate(const std::string& queue) const {
  const auto found = approval_rates_.find(queue);
  const double rate =
      found == approval_rates_.end() ? kInitialApprovalRate : found->second;
  return std::max(rate, kMinApprovalRate);
}

void AdviceRequestManager::RecordApprovals(const std::string& queue,
                                           std::size_t asked,
                                           std::size_t approved) {
  if (asked == 0) return;
  const double rate =
      static_cast<double>(approved) / static_cast<double>(asked);
  double& average =
      approval_rates_.try_emplace(queue, kInitialApprovalRate).first->second;
  average += (rate - average) * kApprovalRateWeight;
}

}  // namespace chivewing
