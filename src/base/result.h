#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <string>

#include "base/result_code.h"

namespace chivewing {

// A failure: its result code and one sentence that says what failed.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string detail;
};

// Either a value or an error. Reading the one that it does not hold terminates
// the process.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

// Result of an operation without a value.
using Status = Result<void>;

// Success without a value.
inline Status Ok() { return boost::outcome_v2::success(); }

}  // namespace chivewing
