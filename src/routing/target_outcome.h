#pragma once

#include <cstdint>

namespace chivewing {

// How one dispatch to an instance ended.
enum class TargetOutcome : std::uint8_t {
  kDone,            // the whole response, with the request's own id
  kDoneWithFault,   // the whole response, which reports a server error
  kRefusedNoSlot,   // refused before running: no free slot
  kRefusedLeaving,  // refused before running: the instance is leaving
  kConnectFailed,   // no connection, nothing was sent
  kNotSent,         // never left this process
  kTimedOut,        // sent, no response in time; the connection is closed
  kConnectionLost,  // sent, connection closed before the whole response
  // A malformed response or one to another request; the connection is closed.
  kBadAnswer,
};

// True when the outcome proves that the request did not run.
inline bool CertainlyNotRun(TargetOutcome outcome) {
  return outcome == TargetOutcome::kRefusedNoSlot ||
         outcome == TargetOutcome::kRefusedLeaving ||
         outcome == TargetOutcome::kConnectFailed ||
         outcome == TargetOutcome::kNotSent;
}

// True when the outcome is a response to return to the caller.
inline bool IsDone(TargetOutcome outcome) {
  return outcome == TargetOutcome::kDone ||
         outcome == TargetOutcome::kDoneWithFault;
}

}  // namespace chivewing
