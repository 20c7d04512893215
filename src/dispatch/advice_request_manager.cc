#include "dispatch/advice_request_manager.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chivewing {
namespace {

// Requests that are expected to take longer count as slow.
constexpr std::chrono::milliseconds kSlowRequestThreshold{100};
// Quick requests that one host may have pending. The second one waits for the
// first, as the service handles the requests of a host in turn.
constexpr std::size_t kMaxQuickRequestsPerHost = 2;
// One in this many hosts, and at least one of several, gets no slow requests,
// and as many get no quick ones while slow ones wait.
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
  if (hosts == advice_hosts_) return;
  advice_hosts_ = std::move(hosts);
  std::erase_if(backoff_until_, [this](const auto& entry) {
    return !advice_hosts_.contains(entry.first);
  });
  without_slow_.clear();
  for (const HostId& host : advice_hosts_) Index(host);
}

AdviceRequestManager::PendingCounts AdviceRequestManager::CountPending(
    const HostId& advice_host) const {
  const auto found = pending_by_host_.find(advice_host);
  return found == pending_by_host_.end() ? PendingCounts{} : found->second;
}

void AdviceRequestManager::Unindex(const HostId& advice_host) {
  without_slow_.erase({CountPending(advice_host).quick, advice_host});
}

void AdviceRequestManager::Index(const HostId& advice_host) {
  const PendingCounts counts = CountPending(advice_host);
  const bool usable = advice_hosts_.contains(advice_host) && counts.slow == 0 &&
                      !backoff_until_.contains(advice_host);
  if (usable) without_slow_.insert({counts.quick, advice_host});
}

void AdviceRequestManager::EndBackoffs(TimePoint now) {
  std::vector<HostId> ended;
  for (const auto& [host, until] : backoff_until_) {
    if (now >= until) ended.push_back(host);
  }
  for (const HostId& host : ended) {
    backoff_until_.erase(host);
    Index(host);
  }
}

std::size_t AdviceRequestManager::HostsOfOneKind() const {
  const std::size_t hosts = UsableHosts();
  if (hosts < 2) return 0;
  return std::max<std::size_t>(1, hosts / kHostsPerReservedHost);
}

std::size_t AdviceRequestManager::HostsKeptForSlow() const {
  if (!slow_waiting_) return 0;
  // A single host sends both kinds in turn.
  if (UsableHosts() < 2) return last_was_slow_ ? 0 : 1;
  const std::size_t wanted = HostsOfOneKind();
  return wanted - std::min(wanted, slow_pending_);
}

std::optional<HostId> AdviceRequestManager::FindHost(TimePoint now, bool slow) {
  EndBackoffs(now);
  // The hosts kept for slow requests are those with the fewest quick ones.
  const std::size_t passed_over = slow ? 0 : HostsKeptForSlow();
  if (without_slow_.size() <= passed_over) return std::nullopt;
  const auto& [quick, best] = *std::next(
      without_slow_.begin(), static_cast<std::ptrdiff_t>(passed_over));
  if (quick >= kMaxQuickRequestsPerHost) return std::nullopt;
  if (slow && without_slow_.size() <= HostsOfOneKind()) return std::nullopt;
  return best;
}

std::uint64_t AdviceRequestManager::AddRequest(PendingAdviceRequest request) {
  const HostId host = request.advice_host;
  Unindex(host);
  PendingCounts& counts = pending_by_host_[host];
  ++(request.slow ? counts.slow : counts.quick);
  if (request.slow) ++slow_pending_;
  last_was_slow_ = request.slow;
  Index(host);
  timeouts_.insert({request.timeout_at, ++last_request_id_});
  pending_.emplace(last_request_id_, std::move(request));
  return last_request_id_;
}

std::optional<PendingAdviceRequest> AdviceRequestManager::TakeRequest(
    std::uint64_t request) {
  auto node = pending_.extract(request);
  if (node.empty()) return std::nullopt;
  PendingAdviceRequest& taken = node.mapped();
  timeouts_.erase({taken.timeout_at, request});
  Unindex(taken.advice_host);
  const auto counts = pending_by_host_.find(taken.advice_host);
  --(taken.slow ? counts->second.slow : counts->second.quick);
  if (taken.slow) --slow_pending_;
  if (counts->second.slow + counts->second.quick == 0) {
    pending_by_host_.erase(counts);
  }
  Index(taken.advice_host);
  return std::move(taken);
}

void AdviceRequestManager::Forget(const WorkerId& worker) {
  for (auto& [id, request] : pending_) request.workers.erase(worker);
}

void AdviceRequestManager::OnFailure(TimePoint now, const HostId& advice_host) {
  if (!advice_hosts_.contains(advice_host)) return;
  Unindex(advice_host);
  backoff_until_[advice_host] = now + kFailureBackoff;
}

std::vector<std::uint64_t> AdviceRequestManager::TimedOutRequests(
    TimePoint now) const {
  std::vector<std::uint64_t> out;
  for (const auto& [at, id] : timeouts_) {
    if (at > now) break;
    out.push_back(id);
  }
  return out;
}

std::optional<TimePoint> AdviceRequestManager::next_timeout() const {
  if (timeouts_.empty()) return std::nullopt;
  return timeouts_.begin()->first;
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
