#pragma once

#include <nlohmann/json_fwd.hpp>

#include "base/latency_histogram.h"
#include "outcome/claim_manager.h"
#include "routing/router_state.h"

namespace chivewing {

// Parts of the state dump, as JSON objects.
nlohmann::json RouterStateToJson(const RouterState& state);
nlohmann::json ClaimCountersToJson(const ClaimCounters& counters);
nlohmann::json HistogramToJson(const LatencyHistogram& histogram);

}  // namespace chivewing
