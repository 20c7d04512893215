#pragma once

#include <string>

#include "base/result_code.h"
#include "base/time.h"

namespace chivewing {

struct Job;
struct PlacerState;

// Why a job waits: a result code and one sentence.
struct WaitReason {
  ResultCode code = ResultCode::kOk;
  std::string sentence;
};

// Says why the job waits now; kOk when it does not wait.
WaitReason ExplainWait(const PlacerState& state, TimePoint now, const Job& job);

}  // namespace chivewing
