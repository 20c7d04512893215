#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "base/id.h"
#include "base/result_code.h"
#include "base/time.h"
#include "store/table.h"

namespace chivewing {

enum class OutcomeState { kDone, kNotRun, kUnknown };

// How a request ended.
struct Outcome {
  OutcomeState state = OutcomeState::kUnknown;
  int status = 0;  // HTTP status of the instance's response; 0 without one
  std::string body;
  ResultCode code = ResultCode::kInternal;

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

// A request that asks for the exclusive right to run for its owner's
// idempotency key.
struct ClaimRequest {
  RequestId request;
  OwnerId owner;
  std::string key;
  TimePoint deadline;
};

// Commit the transaction and pass the response to OnCommit. The effect is
// repeated with the same write id until the response is definite.
struct CommitClaims {
  TableTransaction transaction;
};

// The request may be dispatched once; pass its outcome to RecordOutcome.
struct ClaimGranted {
  RequestId request;
};

// The request must not be dispatched. The code tells whether an earlier request
// of the key may have run (unknown) or the key has certainly not run (not run).
struct ClaimRefused {
  RequestId request;
  ResultCode code = ResultCode::kClaimUnavailable;
};

// An earlier request of the key ended with this outcome: respond to the caller
// with it.
struct ClaimOutcomeReplayed {
  RequestId request;
  Outcome outcome;
};

// Ask the entry host that holds the claim how its request ended, and pass its
// response to OnClaimStatus. `ask` identifies the query.
struct QueryClaimHolder {
  HostId host;
  std::uint64_t ask = 0;
  OwnerId owner;
  std::string key;
  std::chrono::milliseconds remaining{0};
};

// Response to QueryClaimHolder. `known` is false when the host has no outcome
// for the key.
struct ClaimStatusResponse {
  std::uint64_t ask = 0;
  bool known = false;
  Outcome outcome;
};

// Send `reply` to the host that sent the query.
struct SendClaimStatus {
  HostId host;
  ClaimStatusResponse reply;
};

using ClaimEffect =
    std::variant<CommitClaims, ClaimGranted, ClaimRefused, ClaimOutcomeReplayed,
                 QueryClaimHolder, SendClaimStatus>;

}  // namespace chivewing
