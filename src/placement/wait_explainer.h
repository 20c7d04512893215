#pragma once

#include <string>

#include "base/result_code.h"
#include "base/time.h"

namespace chivewing {

struct Job;
struct PlacerState;

// Why a job waits: a result code and a message for users.
struct WaitReason {
  ResultCode code = ResultCode::kOk;
  std::string sentence;
};

// Explains why the job waits now; kOk when it does not wait. Reads the state
// only.
WaitReason ExplainWait(const PlacerState& state, TimePoint now, const Job& job);

}  // namespace chivewing
