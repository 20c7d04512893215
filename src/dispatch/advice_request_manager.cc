#include "dispatch/advice_request_manager.h"

#include <algorithm>
#include <utility>

namespace chivewing {
namespace {

// Questions that take longer count as slow.
constexpr std::chrono::milliseconds kSlowFrom{100};
// Quick questions that one host may have open: the second waits one turn.
constexpr std::size_t kMostQuick = 2;
// One in this many hosts is kept free of slow questions.
constexpr std::size_t kHostsPerReserved = 4;
constexpr std::chrono::seconds kAskerPause{1};
// Weight of the newest answer in the learned share of good workers.
constexpr double kLearnWeight = 0.1;
constexpr double kFirstGoodShare = 0.5;
constexpr double kLeastGoodShare = 0.05;

}  // namespace

bool AdviceRequestManager::IsSlow(std::chrono::microseconds duration) {
  return duration > kSlowFrom;
}

void AdviceRequestManager::set_advice_hosts(std::set<HostId> askers) {
  askers_ = std::move(askers);
  std::erase_if(paused_until_, [this](const auto& entry) {
    return !askers_.contains(entry.first);
  });
}

std::size_t AdviceRequestManager::CountOpen(const HostId& asker,
                                            bool slow) const {
  return static_cast<std::size_t>(
      std::count_if(open_.begin(), open_.end(), [&](const auto& entry) {
        return entry.second.advice_host == asker && entry.second.slow == slow;
      }));
}

std::optional<HostId> AdviceRequestManager::FindAdviceHost(
    TimePoint now, std::chrono::microseconds duration) const {
  const bool slow = IsSlow(duration);
  std::size_t without_slow = 0;
  std::optional<HostId> best;
  std::size_t best_open = kMostQuick;
  for (const HostId& asker : askers_) {
    if (CountOpen(asker, true) > 0) continue;
    const auto paused = paused_until_.find(asker);
    if (paused != paused_until_.end() && now < paused->second) continue;
    ++without_slow;
    const std::size_t open = CountOpen(asker, false);
    if (open >= best_open) continue;
    best = asker;
    best_open = open;
  }
  if (!slow) return best;
  const std::size_t reserved =
      askers_.size() < 2
          ? 0
          : std::max<std::size_t>(1, askers_.size() / kHostsPerReserved);
  return without_slow > reserved ? best : std::nullopt;
}

std::uint64_t AdviceRequestManager::AddRequest(PendingAdviceRequest ask) {
  open_.emplace(++last_ask_, std::move(ask));
  return last_ask_;
}

std::optional<PendingAdviceRequest> AdviceRequestManager::TakeRequest(
    std::uint64_t ask) {
  auto node = open_.extract(ask);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

void AdviceRequestManager::OnFailure(TimePoint now, const HostId& asker) {
  paused_until_[asker] = now + kAskerPause;
}

std::vector<std::uint64_t> AdviceRequestManager::TimedOutRequests(
    TimePoint now) const {
  std::vector<std::uint64_t> out;
  for (const auto& [id, ask] : open_) {
    if (now >= ask.timeout_at) out.push_back(id);
  }
  return out;
}

std::optional<TimePoint> AdviceRequestManager::next_overdue() const {
  std::optional<TimePoint> next;
  for (const auto& [id, ask] : open_) {
    if (!next || ask.timeout_at < *next) next = ask.timeout_at;
  }
  return next;
}

double AdviceRequestManager::ApprovalRate(const std::string& queue) const {
  const auto found = good_share_.find(queue);
  const double share =
      found == good_share_.end() ? kFirstGoodShare : found->second;
  return std::max(share, kLeastGoodShare);
}

void AdviceRequestManager::Learn(const std::string& queue, std::size_t asked,
                                 std::size_t good) {
  if (asked == 0) return;
  const double seen = static_cast<double>(good) / static_cast<double>(asked);
  double& share = good_share_.try_emplace(queue, kFirstGoodShare).first->second;
  share += (seen - share) * kLearnWeight;
}

}  // namespace chivewing
