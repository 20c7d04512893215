#include "outcome/ticket_manager.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace chivewing {
namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

}  // namespace

std::string FormatTicket(const Ticket& ticket) {
  return ticket.host.value() + "." + std::to_string(ticket.incarnation) + "." +
         std::to_string(ticket.number);
}

std::optional<Ticket> ParseTicket(std::string_view text) {
  const std::size_t last = text.rfind('.');
  if (last == std::string_view::npos || last == 0) return std::nullopt;
  const std::size_t middle = text.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0) return std::nullopt;
  const auto number = ParseNumber(text.substr(last + 1));
  const auto incarnation =
      ParseNumber(text.substr(middle + 1, last - middle - 1));
  if (!number || !incarnation) return std::nullopt;
  return Ticket{HostId(std::string(text.substr(0, middle))), *incarnation,
                *number};
}

TicketManager::TicketManager(TicketManagerSettings settings)
    : settings_(std::move(settings)) {}

std::string TicketManager::Issue(TimePoint now) {
  RaiseFloor(now);
  const std::uint64_t number = next_++;
  marks_.push_back({now, number});
  return FormatTicket({settings_.host, settings_.incarnation, number});
}

void TicketManager::Redeem(TimePoint now, std::string_view ticket,
                           const RequestId& request, TimePoint deadline,
                           Effects& out) {
  const std::optional<Ticket> parsed = ParseTicket(ticket);
  if (!parsed) {
    out.emplace_back(ClaimRefused{request, ResultCode::kBadRequest});
    return;
  }
  if (parsed->host != settings_.host) {
    out.emplace_back(ForwardToTicketIssuer{request, parsed->host});
    return;
  }
  if (parsed->incarnation != settings_.incarnation) {
    out.emplace_back(ClaimRefused{request, ResultCode::kTicketHostLost});
    return;
  }
  RaiseFloor(now);
  RedeemOwn(parsed->number, {request, deadline}, out);
}

void TicketManager::RedeemOwn(std::uint64_t number, const Waiter& waiter,
                              Effects& out) {
  const bool never_issued = number >= next_ || number == 0;
  if (never_issued || running_.count(waiter.request) > 0) {
    out.emplace_back(ClaimRefused{waiter.request, ResultCode::kBadRequest});
    return;
  }
  const auto found = redeemed_.find(number);
  if (found == redeemed_.end()) {
    if (number < floor_) {  // void: it may have run and been forgotten
      out.emplace_back(ClaimRefused{waiter.request, ResultCode::kClaimOpen});
      return;
    }
    redeemed_[number];
    running_[waiter.request] = number;
    out.emplace_back(ClaimGranted{waiter.request});
    return;
  }
  Redeemed& entry = found->second;
  if (entry.outcome) {
    out.emplace_back(ClaimOutcomeReplayed{waiter.request, *entry.outcome});
  } else if (entry.waiters.size() >= settings_.max_waiters_per_key) {
    out.emplace_back(ClaimRefused{waiter.request, ResultCode::kClaimOpen});
  } else {
    entry.waiters.push_back(waiter);
  }
}

void TicketManager::RecordOutcome(TimePoint now, const RequestId& request,
                                  Outcome outcome, Effects& out) {
  const auto found = running_.find(request);
  if (found == running_.end()) return;
  const std::uint64_t number = found->second;
  running_.erase(found);
  Redeemed& entry = redeemed_.at(number);
  if (outcome.state == OutcomeState::kNotRun) {
    if (!PromoteWaiter(now, number, entry, out)) redeemed_.erase(number);
    return;
  }
  for (const Waiter& waiter : std::exchange(entry.waiters, {})) {
    out.emplace_back(ClaimOutcomeReplayed{waiter.request, outcome});
  }
  outcome_bytes_ += outcome.body.size();
  entry.outcome = std::move(outcome);
  while (outcome_bytes_ > settings_.max_outcome_bytes && floor_ < next_) {
    RaiseFloorTo(floor_ + 1);
  }
}

// Lets the first request that still waits run in place of the one that did not.
bool TicketManager::PromoteWaiter(TimePoint now, std::uint64_t number,
                                  Redeemed& entry, Effects& out) {
  Expire(now, entry, out);
  if (entry.waiters.empty()) return false;
  const RequestId request = entry.waiters.front().request;
  entry.waiters.erase(entry.waiters.begin());
  running_[request] = number;
  out.emplace_back(ClaimGranted{request});
  return true;
}

void TicketManager::Expire(TimePoint now, Redeemed& entry, Effects& out) {
  const auto late = std::stable_partition(
      entry.waiters.begin(), entry.waiters.end(),
      [now](const Waiter& each) { return now < each.deadline; });
  for (auto each = late; each != entry.waiters.end(); ++each) {
    out.emplace_back(ClaimRefused{each->request, ResultCode::kClaimOpen});
  }
  entry.waiters.erase(late, entry.waiters.end());
}

void TicketManager::Tick(TimePoint now, Effects& out) {
  for (const auto& [request, number] : running_) {
    Expire(now, redeemed_.at(number), out);
  }
  RaiseFloor(now);
}

// Tickets that are too old, or too many, become void.
void TicketManager::RaiseFloor(TimePoint now) {
  while (!marks_.empty() &&
         (marks_.size() >= settings_.max_tickets ||
          now - marks_.front().issued >= settings_.lifetime)) {
    RaiseFloorTo(marks_.front().number + 1);
  }
}

void TicketManager::RaiseFloorTo(std::uint64_t floor) {
  floor_ = std::max(floor_, floor);
  while (!marks_.empty() && marks_.front().number < floor_) marks_.pop_front();
  auto each = redeemed_.begin();
  while (each != redeemed_.end() && each->first < floor_) {
    if (!each->second.outcome) {  // still runs
      ++each;
      continue;
    }
    outcome_bytes_ -= each->second.outcome->body.size();
    each = redeemed_.erase(each);
  }
}

}  // namespace chivewing
