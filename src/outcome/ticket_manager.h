#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "outcome/claim_effects.h"

namespace chivewing {

// One-time token "HOST.INCARNATION.N" for one run of one request.
struct Ticket {
  HostId host;  // that issued it
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
};

std::string FormatTicket(const Ticket& ticket);
// Empty when the text does not have the form of a ticket.
std::optional<Ticket> ParseTicket(std::string_view text);

// The ticket was issued by another entry host: forward the request there.
struct ForwardToTicketIssuer {
  RequestId request;
  HostId host;
};

using TicketEffect = std::variant<ClaimGranted, ClaimRefused,
                                  ClaimOutcomeReplayed, ForwardToTicketIssuer>;

struct TicketManagerSettings {
  HostId host;
  std::uint64_t incarnation = 0;
  Duration lifetime = std::chrono::minutes(10);  // of a ticket and its outcome
  std::size_t max_tickets = 100000;  // beyond it the oldest become void
  std::size_t max_waiters_per_key = 16;
  std::size_t max_outcome_bytes = 32UL * 1024 * 1024;
};

// Issues tickets and lets each run at most once. Tickets and outcomes are kept
// only in memory, without table writes, so they become void when the process
// ends. Does no I/O; the caller provides the time and runs it on one thread.
class TicketManager {
 public:
  using Effects = std::vector<TicketEffect>;

  explicit TicketManager(TicketManagerSettings settings);

  std::string Issue(TimePoint now);

  // Asks to run a request with `ticket`. One of ClaimGranted, ClaimRefused,
  // ClaimOutcomeReplayed and ForwardToTicketIssuer follows, by the deadline if
  // Tick is called.
  void Redeem(TimePoint now, std::string_view ticket, const RequestId& request,
              TimePoint deadline, Effects& out);
  // Records the outcome of a granted request. After a not-run outcome the
  // ticket can be redeemed again.
  void RecordOutcome(TimePoint now, const RequestId& request, Outcome outcome,
                     Effects& out);
  void Tick(TimePoint now, Effects& out);

  std::size_t redeemed() const { return redeemed_tickets_.size(); }

 private:
  struct Waiter {
    RequestId request;
    TimePoint deadline;
  };
  struct RedeemedTicket {
    std::optional<Outcome> outcome;  // empty while it runs
    std::vector<Waiter> waiters;
  };
  struct IssuedTicket {
    TimePoint issued_at;
    std::uint64_t number = 0;
  };

  void RedeemOwnTicket(std::uint64_t number, const Waiter& waiter,
                       Effects& out);
  bool PromoteWaiter(TimePoint now, std::uint64_t number,
                     RedeemedTicket& record, Effects& out);
  void ExpireWaiters(TimePoint now, RedeemedTicket& record, Effects& out);
  void VoidExpiredTickets(TimePoint now);
  void VoidTicketsBelow(std::uint64_t floor);

  TicketManagerSettings settings_;
  std::uint64_t next_number_ = 1;
  std::uint64_t first_valid_number_ = 1;     // lower ones are void
  std::deque<IssuedTicket> issued_tickets_;  // oldest first
  std::map<std::uint64_t, RedeemedTicket>
      redeemed_tickets_;  // by ticket number
  std::unordered_map<RequestId, std::uint64_t>
      running_requests_;  // ticket by request
  std::size_t outcome_bytes_ = 0;
};

}  // namespace chivewing
