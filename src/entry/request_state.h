#pragma once

#include <nlohmann/json_fwd.hpp>

#include "base/latency_histogram.h"
#include "outcome/claim_manager.h"
#include "routing/router_state.h"

namespace chivewing {

// Converts parts of the request controller's state to JSON objects for the
// state dump. Times are in microseconds.
nlohmann::json RouterStateToJson(const RouterState& state);
nlohmann::json ClaimCountersToJson(const ClaimCounters& counters);
nlohmann::json HistogramToJson(const LatencyHistogram& histogram);

}  // namespace chivewing
