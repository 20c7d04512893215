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
  VoidExpiredTickets(now);
  const std::uint64_t number = next_number_++;
  issued_tickets_.push_back({now, number});
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
  VoidExpiredTickets(now);
  RedeemOwnTicket(parsed->number, {request, deadline}, out);
}

void TicketManager::RedeemOwnTicket(std::uint64_t number, const Waiter& waiter,
                                    Effects& out) {
  const bool never_issued = number >= next_number_ || number == 0;
  if (never_issued || running_requests_.count(waiter.request) > 0) {
    out.emplace_back(ClaimRefused{waiter.request, ResultCode::kBadRequest});
    return;
  }
  const auto found = redeemed_tickets_.find(number);
  if (found == redeemed_tickets_.end()) {
    // The ticket is void: it may have run and been erased.
    if (number < first_valid_number_) {
      out.emplace_back(ClaimRefused{waiter.request, ResultCode::kClaimOpen});
      return;
    }
    redeemed_tickets_[number];
    running_requests_[waiter.request] = number;
    out.emplace_back(ClaimGranted{waiter.request});
    return;
  }
  RedeemedTicket& record = found->second;
  if (record.outcome) {
    out.emplace_back(ClaimOutcomeReplayed{waiter.request, *record.outcome});
  } else if (record.waiters.size() >= settings_.max_waiters_per_key) {
    out.emplace_back(ClaimRefused{waiter.request, ResultCode::kClaimOpen});
  } else {
    record.waiters.push_back(waiter);
  }
}

void TicketManager::RecordOutcome(TimePoint now, const RequestId& request,
                                  Outcome outcome, Effects& out) {
  const auto found = running_requests_.find(request);
  if (found == running_requests_.end()) return;
  const std::uint64_t number = found->second;
  running_requests_.erase(found);
  RedeemedTicket& record = redeemed_tickets_.at(number);
  if (outcome.state == OutcomeState::kNotRun) {
    if (!PromoteWaiter(now, number, record, out))
      redeemed_tickets_.erase(number);
    return;
  }
  for (const Waiter& waiter : std::exchange(record.waiters, {})) {
    out.emplace_back(ClaimOutcomeReplayed{waiter.request, outcome});
  }
  outcome_bytes_ += outcome.body.size();
  record.outcome = std::move(outcome);
  while (outcome_bytes_ > settings_.max_outcome_bytes &&
         first_valid_number_ < next_number_) {
    VoidTicketsBelow(first_valid_number_ + 1);
  }
}

// Grants the ticket to the first waiting request that has not expired, in place
// of the one that did not run.
bool TicketManager::PromoteWaiter(TimePoint now, std::uint64_t number,
                                  RedeemedTicket& record, Effects& out) {
  ExpireWaiters(now, record, out);
  if (record.waiters.empty()) return false;
  const RequestId request = record.waiters.front().request;
  record.waiters.erase(record.waiters.begin());
  running_requests_[request] = number;
  out.emplace_back(ClaimGranted{request});
  return true;
}

void TicketManager::ExpireWaiters(TimePoint now, RedeemedTicket& record,
                                  Effects& out) {
  const auto expired = std::stable_partition(
      record.waiters.begin(), record.waiters.end(),
      [now](const Waiter& each) { return now < each.deadline; });
  for (auto each = expired; each != record.waiters.end(); ++each) {
    out.emplace_back(ClaimRefused{each->request, ResultCode::kClaimOpen});
  }
  record.waiters.erase(expired, record.waiters.end());
}

void TicketManager::Tick(TimePoint now, Effects& out) {
  for (const auto& [request, number] : running_requests_) {
    ExpireWaiters(now, redeemed_tickets_.at(number), out);
  }
  VoidExpiredTickets(now);
}

// Voids tickets past their lifetime and the oldest beyond max_tickets.
void TicketManager::VoidExpiredTickets(TimePoint now) {
  while (!issued_tickets_.empty() &&
         (issued_tickets_.size() >= settings_.max_tickets ||
          now - issued_tickets_.front().issued_at >= settings_.lifetime)) {
    VoidTicketsBelow(issued_tickets_.front().number + 1);
  }
}

void TicketManager::VoidTicketsBelow(std::uint64_t floor) {
  first_valid_number_ = std::max(first_valid_number_, floor);
  while (!issued_tickets_.empty() &&
         issued_tickets_.front().number < first_valid_number_)
    issued_tickets_.pop_front();
  auto each = redeemed_tickets_.begin();
  while (each != redeemed_tickets_.end() && each->first < first_valid_number_) {
    if (!each->second.outcome) {  // still running
      ++each;
      continue;
    }
    outcome_bytes_ -= each->second.outcome->body.size();
    each = redeemed_tickets_.erase(each);
  }
}

}  // namespace chivewing
