#pragma once

#include "outcome/claim_effects.h"
#include "peer/messages.h"
#include "routing/load_report.h"

namespace chivewing {

// Load reports and claim replies as peers send them, and back.
PeerLoadReport ToMessage(const LoadReport& report);
LoadReport FromMessage(const PeerLoadReport& message);
ClaimQueryResponse ToMessage(const ClaimStatusResponse& response);
ClaimStatusResponse FromMessage(const ClaimQueryResponse& message);

}  // namespace chivewing
