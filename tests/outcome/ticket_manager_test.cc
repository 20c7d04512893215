#include "outcome/ticket_manager.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
const TimePoint kStart(std::chrono::hours(1));

TicketManagerSettings Settings() {
  TicketManagerSettings settings;
  settings.host = HostId("host.a");
  settings.incarnation = 7;
  settings.lifetime = std::chrono::seconds(10);
  settings.max_tickets = 4;
  settings.max_outcome_bytes = 10;
  return settings;
}

struct TicketCase {
  const char* name;
  const char* text;
  TicketEffect wanted;
};

class TicketFormTest : public testing::TestWithParam<TicketCase> {};

TEST_P(TicketFormTest, DecidesByTheTicketAlone) {
  TicketManager book(Settings());
  book.Issue(kStart);
  TicketManager::Effects out;
  book.Redeem(kStart, GetParam().text, RequestId("r"),
              kStart + milliseconds(100), out);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].index(), GetParam().wanted.index());
  if (const auto* refused = std::get_if<ClaimRefused>(&GetParam().wanted)) {
    EXPECT_EQ(std::get<ClaimRefused>(out[0]).code, refused->code);
  }
  if (const auto* forward =
          std::get_if<ForwardToTicketIssuer>(&GetParam().wanted)) {
    EXPECT_EQ(std::get<ForwardToTicketIssuer>(out[0]).host, forward->host);
  }
}

ClaimRefused Refused(ResultCode code) { return {RequestId("r"), code}; }

INSTANTIATE_TEST_SUITE_P(
    Forms, TicketFormTest,
    testing::Values(
        TicketCase{"own", "host.a.7.1", ClaimGranted{}},
        TicketCase{"other_host", "b.3.9",
                   ForwardToTicketIssuer{RequestId(), HostId("b")}},
        TicketCase{"earlier_process", "host.a.6.1",
                   Refused(ResultCode::kTicketHostLost)},
        TicketCase{"never_issued", "host.a.7.2",
                   Refused(ResultCode::kBadRequest)},
        TicketCase{"zero", "host.a.7.0", Refused(ResultCode::kBadRequest)},
        TicketCase{"no_number", "host.a.7.", Refused(ResultCode::kBadRequest)},
        TicketCase{"words", "x.y", Refused(ResultCode::kBadRequest)},
        TicketCase{"empty", "", Refused(ResultCode::kBadRequest)}),
    [](const auto& each) { return each.param.name; });

// Any order of issuing, redeeming, ending and waiting runs a ticket once at
// most, unless it certainly did not run, and answers each request once.
RC_GTEST_PROP(TicketManager, TicketRunsAtMostOnce, ()) {
  TicketManager book(Settings());
  TimePoint now = kStart;
  std::vector<std::string> tickets;
  std::map<RequestId, std::string> asked;    // ticket by unanswered request
  std::map<RequestId, std::string> running;  // ticket by granted request
  std::map<std::string, int> runs;
  TicketManager::Effects out;
  const auto steps = *rc::gen::resize(
      300, rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, int>>>());
  for (const auto& [kind, arg] : steps) {
    const auto pick = static_cast<std::size_t>(std::abs(arg % 1000));
    out.clear();
    if (kind % 4 == 0) tickets.push_back(book.Issue(now));
    if (kind % 4 == 1 && !tickets.empty()) {
      const RequestId request("r" + std::to_string(asked.size()) + "-" +
                              std::to_string(now.time_since_epoch().count()));
      if (asked.count(request) + running.count(request) > 0) continue;
      asked[request] = tickets[pick % tickets.size()];
      book.Redeem(now, asked[request], request, now + milliseconds(pick), out);
    }
    if (kind % 4 == 2 && !running.empty()) {
      const auto [request, ticket] = *running.begin();
      running.erase(running.begin());
      const auto state = static_cast<OutcomeState>(pick % 3);
      if (state == OutcomeState::kNotRun) --runs[ticket];
      book.RecordOutcome(now, request, {state, 200, ticket, {}}, out);
    }
    if (kind % 4 == 3) {
      now += milliseconds(pick * 4);
      book.Tick(now, out);
    }
    for (const TicketEffect& effect : out) {
      const RequestId request =
          std::visit([](const auto& each) { return each.request; }, effect);
      RC_ASSERT(asked.count(request) == 1U);
      const std::string ticket = asked[request];
      asked.erase(request);
      if (std::holds_alternative<ClaimGranted>(effect)) {
        running[request] = ticket;
        RC_ASSERT(++runs[ticket] == 1);
      } else if (const auto* refused = std::get_if<ClaimRefused>(&effect)) {
        RC_ASSERT(!IsNotRun(refused->code));
      } else {
        RC_ASSERT(std::get<ClaimOutcomeReplayed>(effect).outcome.body ==
                  ticket);
      }
    }
  }
}

}  // namespace
}  // namespace chivewing
