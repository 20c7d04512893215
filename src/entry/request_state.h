#pragma once

#include <nlohmann/json_fwd.hpp>

#include "base/latency_histogram.h"
#include "outcome/claim_book.h"
#include "routing/router_state.h"

namespace chivewing {

// Parts of the state dump, as JSON objects.
nlohmann::json DescribeRouter(const RouterState& state);
nlohmann::json DescribeClaims(const ClaimBookCounters& counters);
nlohmann::json DescribeHistogram(const LatencyHistogram& histogram);

}  // namespace chivewing
