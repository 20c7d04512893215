#include "entry/peer_message_conversion.h"

namespace chivewing {
namespace {

ClaimState StateOf(const ClaimStatusResponse& reply) {
  if (!reply.known) return ClaimState::kOpen;
  switch (reply.outcome.state) {
    case OutcomeState::kDone:
      return ClaimState::kDone;
    case OutcomeState::kNotRun:
      return ClaimState::kNotRun;
    case OutcomeState::kUnknown:
      return ClaimState::kUnknown;
  }
  return ClaimState::kUnknown;
}

OutcomeState OutcomeOf(ClaimState state) {
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

ClaimQueryResponse ToMessage(const ClaimStatusResponse& reply) {
  ClaimQueryResponse message;
  message.query_id = reply.ask;
  message.state = StateOf(reply);
  message.status = static_cast<std::uint64_t>(reply.outcome.status);
  message.body = reply.outcome.body;
  message.code = reply.outcome.code;
  return message;
}

ClaimStatusResponse FromMessage(const ClaimQueryResponse& message) {
  ClaimStatusResponse reply;
  reply.ask = message.query_id;
  reply.known = message.state != ClaimState::kOpen;
  reply.outcome.state = OutcomeOf(message.state);
  reply.outcome.status = static_cast<int>(message.status);
  reply.outcome.body = message.body;
  reply.outcome.code = message.code;
  return reply;
}

}  // namespace chivewing
