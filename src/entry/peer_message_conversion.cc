#include "entry/peer_message_conversion.h"

namespace chivewing {
namespace {

ClaimState ToClaimState(const ClaimStatusResponse& response) {
  if (!response.known) return ClaimState::kOpen;
  switch (response.outcome.state) {
    case OutcomeState::kDone:
      return ClaimState::kDone;
    case OutcomeState::kNotRun:
      return ClaimState::kNotRun;
    case OutcomeState::kUnknown:
      return ClaimState::kUnknown;
  }
  return ClaimState::kUnknown;
}

OutcomeState ToOutcomeState(ClaimState state) {
  if (state == ClaimState::kDone) return OutcomeState::kDone;
  if (state == ClaimState::kNotRun) return OutcomeState::kNotRun;
  return OutcomeState::kUnknown;
}

}  // namespace

PeerLoadReport ToMessage(const LoadReport& report) {
  PeerLoadReport message;
  message.last_forward_id = static_cast<std::uint64_t>(report.last_forward_id);
  for (const EntryLoad& load : report.entries) {
    message.loads.push_back(
        {load.entry, load.slots, load.free_slots, load.queued});
  }
  return message;
}

LoadReport FromMessage(const PeerLoadReport& message) {
  LoadReport report;
  report.last_forward_id = ForwardId{message.last_forward_id};
  for (const PeerEntryLoad& load : message.loads) {
    report.entries.push_back({load.entry,
                              static_cast<std::uint32_t>(load.slots),
                              static_cast<std::uint32_t>(load.free_slots),
                              static_cast<std::uint32_t>(load.queued)});
  }
  return report;
}

ClaimQueryResponse ToMessage(const ClaimStatusResponse& response) {
  ClaimQueryResponse message;
  message.query_id = response.ask;
  message.state = ToClaimState(response);
  message.status = static_cast<std::uint64_t>(response.outcome.status);
  message.body = response.outcome.body;
  message.code = response.outcome.code;
  return message;
}

ClaimStatusResponse FromMessage(const ClaimQueryResponse& message) {
  ClaimStatusResponse response;
  response.ask = message.query_id;
  response.known = message.state != ClaimState::kOpen;
  response.outcome.state = ToOutcomeState(message.state);
  response.outcome.status = static_cast<int>(message.status);
  response.outcome.body = message.body;
  response.outcome.code = message.code;
  return response;
}

}  // namespace chivewing
