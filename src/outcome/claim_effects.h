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
  int status = 0;  // HTTP status of the instance's answer; 0: none
  std::string body;
  ResultCode code = ResultCode::kInternal;

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

// A request that wants to be the only one of its owner's key to run.
struct ClaimRequest {
  RequestId request;
  OwnerId owner;
  std::string key;
  TimePoint deadline;
};

// Commit this and hand the answer to OnCommit. Sent again, with the same write
// id, while its answer is in doubt.
struct CommitClaims {
  TableTransaction transaction;
};

// The request may be dispatched, once; its end must be told to RecordOutcome.
struct ClaimGranted {
  RequestId request;
};

// The request is not dispatched. The code says whether an earlier request of
// the key may have run (unknown) or the key certainly has not run (not run).
struct ClaimRefused {
  RequestId request;
  ResultCode code = ResultCode::kClaimUnavailable;
};

// An earlier request of the key has ended so: give its caller this answer.
struct ClaimOutcomeReplayed {
  RequestId request;
  Outcome outcome;
};

// Ask the entry host that holds the claim how its request ended, and hand its
// answer to OnAnswer.
struct QueryClaimHolder {
  HostId host;
  std::uint64_t ask = 0;
  OwnerId owner;
  std::string key;
  std::chrono::milliseconds remaining{0};
};

// What the asked host tells: `known` is false when it has no outcome.
struct ClaimStatusResponse {
  std::uint64_t ask = 0;
  bool known = false;
  Outcome outcome;
};

// Send `reply` to the host that asked.
struct SendClaimStatus {
  HostId host;
  ClaimStatusResponse reply;
};

using ClaimEffect =
    std::variant<CommitClaims, ClaimGranted, ClaimRefused, ClaimOutcomeReplayed,
                 QueryClaimHolder, SendClaimStatus>;

}  // namespace chivewing
