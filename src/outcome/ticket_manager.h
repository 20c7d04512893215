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

// A one-time id "HOST.INCARNATION.N" that allows one run of one request.
struct Ticket {
  HostId host;  // which issued it
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
};

std::string FormatTicket(const Ticket& ticket);
// Nothing when the text has not the form of a ticket.
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
  Duration lifetime = std::chrono::minutes(10);  // of ticket and outcome
  std::size_t max_tickets = 100000;  // above it the oldest become void
  std::size_t max_waiters_per_key = 16;
  std::size_t max_outcome_bytes = 32UL * 1024 * 1024;
};

// Issues tickets and lets each run at most once, with no write: the memory of
// this process is the record. With the process its tickets become void.
class TicketManager {
 public:
  using Effects = std::vector<TicketEffect>;

  explicit TicketManager(TicketManagerSettings settings);

  std::string Issue(TimePoint now);

  // Asks to run the request that holds `ticket`. ClaimGranted, ClaimRefused,
  // ClaimOutcomeReplayed or ForwardToTicketIssuer follows by the deadline if
  // Tick is called.
  void Redeem(TimePoint now, std::string_view ticket, const RequestId& request,
              TimePoint deadline, Effects& out);
  // The granted request has ended. After not-run the ticket is good again.
  void RecordOutcome(TimePoint now, const RequestId& request, Outcome outcome,
                     Effects& out);
  void Tick(TimePoint now, Effects& out);

  std::size_t redeemed() const { return redeemed_.size(); }

 private:
  struct Waiter {
    RequestId request;
    TimePoint deadline;
  };
  struct Redeemed {
    std::optional<Outcome> outcome;  // absent while it runs
    std::vector<Waiter> waiters;
  };
  struct Mark {
    TimePoint issued;
    std::uint64_t number = 0;
  };

  void RedeemOwn(std::uint64_t number, const Waiter& waiter, Effects& out);
  bool PromoteWaiter(TimePoint now, std::uint64_t number, Redeemed& entry,
                     Effects& out);
  void Expire(TimePoint now, Redeemed& entry, Effects& out);
  void RaiseFloor(TimePoint now);
  void RaiseFloorTo(std::uint64_t floor);

  TicketManagerSettings settings_;
  std::uint64_t next_ = 1;
  std::uint64_t floor_ = 1;  // tickets below it are void
  std::deque<Mark> marks_;   // when numbers were issued, oldest first
  std::map<std::uint64_t, Redeemed> redeemed_;            // by ticket number
  std::unordered_map<RequestId, std::uint64_t> running_;  // ticket by request
  std::size_t outcome_bytes_ = 0;
};

}  // namespace chivewing
