#pragma once

#include <cstdint>

namespace chivewing {

// How one dispatch to an instance ended.
enum class TargetOutcome : std::uint8_t {
  kDone,            // the whole answer, with the request's own id
  kDoneWithFault,   // the whole answer, but it reports a fault of the instance
  kRefusedNoSlot,   // refused before running: no free slot
  kRefusedLeaving,  // refused before running: the instance is leaving
  kConnectFailed,   // no connection, nothing was sent
  kNotSent,         // never left this process
  kTimedOut,        // sent, no answer in time; its connection is closed
  kConnectionLost,  // sent, the connection closed before the whole answer
  kBadAnswer,  // an answer that belongs to another request, or a broken one;
               // its connection is closed
};

// Whether the outcome proves that the request did not run.
inline bool CertainlyNotRun(TargetOutcome outcome) {
  return outcome == TargetOutcome::kRefusedNoSlot ||
         outcome == TargetOutcome::kRefusedLeaving ||
         outcome == TargetOutcome::kConnectFailed ||
         outcome == TargetOutcome::kNotSent;
}

// Whether the outcome is an answer to hand to the caller.
inline bool IsDone(TargetOutcome outcome) {
  return outcome == TargetOutcome::kDone ||
         outcome == TargetOutcome::kDoneWithFault;
}

}  // namespace chivewing
