#include "cluster/gateway_assigner.h"

#include <algorithm>
#include <set>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Each worker of another zone counts as this many of the gateway's own.
constexpr double kOtherZoneCost = 2.0;
// A worker moves to a gateway that costs less than its own by this factor and
// this many workers, and compares them once in the interval.
constexpr double kMoveFactor = 1.5;
constexpr double kMoveMargin = 2.0;
constexpr milliseconds kCompareInterval{500};
// Time without workers after a gateway's first failure, doubled with each
// further one.
constexpr milliseconds kFailureBackoff{1000};
constexpr int kMaxBackoffDoublings = 4;
// A gateway that has not failed for so long starts at the first backoff again.
constexpr seconds kFailureMemory{30};
constexpr seconds kAvoidTime{5};
// A worker without calls for so long no longer counts as served.
constexpr seconds kUnusedTime{5};
constexpr double kMinShare = 0.01;

}  // namespace

void GatewayAssigner::SetGateways(const std::vector<GatewayOption>& options) {
  std::set<HostId> listed;
  for (const GatewayOption& option : options) {
    listed.insert(option.host);
    gateways_[option.host].option = option;
  }
  for (auto& [worker, assignment] : assignments_) {
    if (!listed.contains(assignment.gateway)) assignment.gateway = HostId();
  }
  std::erase_if(gateways_,
                [&](const auto& each) { return !listed.contains(each.first); });
}

std::optional<HostId> GatewayAssigner::GatewayOf(TimePoint now,
                                                 const WorkerId& worker,
                                                 const ZoneId& zone) {
  DropUnused(now);
  Assignment& assignment = assignments_[worker];
  assignment.used_at = now;
  const auto present = gateways_.find(assignment.gateway);
  const bool usable =
      present != gateways_.end() && IsUsable(now, assignment, present->second);
  if (usable && now < assignment.compare_at) return assignment.gateway;
  assignment.compare_at = now + kCompareInterval;
  std::erase_if(assignment.avoided,
                [now](const auto& each) { return each.second <= now; });
  const Gateway* const cheapest = Cheapest(now, assignment, zone);
  if (cheapest == nullptr) {
    Assign(assignment, HostId());
    return std::nullopt;
  }
  const bool move =
      !usable ||
      Cost(present->second, present->second.workers, zone) >
          kMoveFactor * Cost(*cheapest, cheapest->workers + 1, zone) +
              kMoveMargin;
  if (move) Assign(assignment, cheapest->option.host);
  return assignment.gateway;
}

double GatewayAssigner::Cost(const Gateway& gateway, std::size_t workers,
                             const ZoneId& zone) {
  const double share = std::max(kMinShare, gateway.option.processor_share);
  const double cost = static_cast<double>(workers) / share;
  return gateway.option.zone == zone ? cost : cost * kOtherZoneCost;
}

const GatewayAssigner::Gateway* GatewayAssigner::Cheapest(
    TimePoint now, const Assignment& assignment, const ZoneId& zone) const {
  const Gateway* cheapest = nullptr;
  double least = 0;
  for (const auto& [host, gateway] : gateways_) {
    if (!IsUsable(now, assignment, gateway)) continue;
    const double cost = Cost(gateway, gateway.workers + 1, zone);
    if (cheapest != nullptr && cost >= least) continue;
    cheapest = &gateway;
    least = cost;
  }
  return cheapest;
}

bool GatewayAssigner::IsUsable(TimePoint now, const Assignment& assignment,
                               const Gateway& gateway) const {
  if (now < gateway.unavailable_until) return false;
  const auto avoided = assignment.avoided.find(gateway.option.host);
  return avoided == assignment.avoided.end() || now >= avoided->second;
}

void GatewayAssigner::Assign(Assignment& assignment, const HostId& host) {
  const auto former = gateways_.find(assignment.gateway);
  if (former != gateways_.end()) --former->second.workers;
  assignment.gateway = host;
  const auto next = gateways_.find(host);
  if (next != gateways_.end()) ++next->second.workers;
}

void GatewayAssigner::OnGatewayFailure(TimePoint now, const HostId& host) {
  const auto found = gateways_.find(host);
  if (found == gateways_.end() || now < found->second.unavailable_until) return;
  Gateway& gateway = found->second;
  if (now > gateway.failed_at + kFailureMemory) gateway.failures = 0;
  const int doublings = std::min(gateway.failures, kMaxBackoffDoublings);
  gateway.unavailable_until = now + kFailureBackoff * (1 << doublings);
  gateway.failed_at = now;
  ++gateway.failures;
  for (auto& [worker, assignment] : assignments_) {
    if (assignment.gateway == host) Assign(assignment, HostId());
  }
}

void GatewayAssigner::OnUnreachedWorker(TimePoint now, const HostId& host,
                                        const WorkerId& worker) {
  const auto found = assignments_.find(worker);
  if (found == assignments_.end()) return;
  found->second.avoided[host] = now + kAvoidTime;
  if (found->second.gateway == host) Assign(found->second, HostId());
}

void GatewayAssigner::DropUnused(TimePoint now) {
  if (now < next_drop_) return;
  next_drop_ = now + kUnusedTime;
  for (auto it = assignments_.begin(); it != assignments_.end();) {
    if (now < it->second.used_at + kUnusedTime) {
      ++it;
      continue;
    }
    Assign(it->second, HostId());
    it = assignments_.erase(it);
  }
}

bool GatewayAssigner::IsAvailable(TimePoint now, const HostId& host) const {
  const auto found = gateways_.find(host);
  return found != gateways_.end() && now >= found->second.unavailable_until;
}

std::size_t GatewayAssigner::WorkersOf(const HostId& host) const {
  const auto found = gateways_.find(host);
  return found == gateways_.end() ? 0 : found->second.workers;
}

}  // namespace chivewing
